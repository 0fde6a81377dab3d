package cli

import (
	"github.com/integrii/flaggy"
)

func (s *Set) registerWeights(p *flaggy.Parser) {
	_ = p
}
