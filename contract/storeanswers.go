package contract

import "time"

// StoreAnswers is a run of answers of the platform's store to any process, without a long pause
// between two of them. The times are zero if none is known.
type StoreAnswers struct{ Since, Last time.Time }
