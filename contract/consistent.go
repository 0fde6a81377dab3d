package contract

// Consistent reports whether the field that Kind identifies is set.
func (m *Message) Consistent() bool {
	switch m.Kind {
	case KindStart:
		return m.Start != nil
	case KindAccept:
		return m.Accept != nil
	case KindRefuse:
		return m.Refuse != nil
	case KindChunk:
		return m.Chunk != nil
	case KindEnd:
		return m.End != nil
	case KindQuery:
		return m.Query != nil
	case KindStatus:
		return m.Status != nil
	case KindCancel:
		return m.Cancel != nil
	case KindHeartbeat:
		return m.Heartbeat != nil
	default:
		return m.consistentPeerMessage()
	}
}

func (m *Message) consistentPeerMessage() bool {
	switch m.Kind {
	case KindSettingsPull:
		return m.SettingsPull != nil
	case KindSettingsRecords:
		return m.SettingsRecords != nil
	case KindHave:
		return m.Have != nil
	case KindChunkRequest:
		return m.ChunkRequest != nil
	case KindChunkReply:
		return m.ChunkReply != nil
	case KindRecordsPull:
		return m.RecordsPull != nil
	case KindRecords:
		return m.Records != nil
	case KindPiecesRequest:
		return m.PiecesRequest != nil
	case KindPieces:
		return m.Pieces != nil
	default:
		return false
	}
}
