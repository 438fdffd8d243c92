package parser

import (
	"fmt"
	"regexp"
	"slices"

	"github.com/fireflymoor/fireflymoor"
)

// tenantNamePattern also admits the names that other systems give to tenants. A dot
// is not among its characters: in INI it makes a section inherit keys.
var tenantNamePattern = regexp.MustCompile(`^[A-Za-z0-9]+([-_][A-Za-z0-9]+)*$`)

func readTenant(s *Section, name string) fireflymoor.Tenant {
	if !tenantNamePattern.MatchString(name) {
		s.Fault("", "the name is not made of letters and digits, joined by - or _")
	}
	return fireflymoor.Tenant{
		Name:        name,
		KeyHashes:   readKeyHashes(s),
		Priority:    s.Int("priority", 0, 0, MaxPriority),
		HasPriority: s.String("priority", "") != "",
		Rate:        s.Float("rate", 0, 0, MaxRate),
		Burst:       s.Float("burst", 0, 0, MaxBurst),
		Weight:      s.Float("weight", DefaultWeight, 0, MaxWeight),
	}
}

// readKeyHashes reads the hashes of a tenant's keys. Its faults give the position of
// a malformed word instead of the word itself, which may be a key.
func readKeyHashes(s *Section) [][32]byte {
	words := s.Words("keys", nil)
	if len(words) == 0 {
		s.Fault("keys", "a tenant needs at least one key")
	}
	hashes := make([][32]byte, 0, len(words))
	for i, word := range words {
		hash, ok := fireflymoor.ParseKeyHash(word)
		if !ok {
			s.Fault("keys", fmt.Sprintf("entry %d is not sha256: and 64 hexadecimal digits", i+1))
			continue
		}
		hashes = append(hashes, hash)
	}
	return slices.Clip(hashes)
}

// checkKeys notes a fault for each key that occurs more than once.
func (c content) checkKeys(d *Document) {
	owners := map[[32]byte]string{}
	for i := range c.tenants {
		name := c.tenants[i].Name
		for _, hash := range c.tenants[i].KeyHashes {
			if owner, ok := owners[hash]; ok {
				d.Fault("tenant "+name, "keys", "a key is already one of tenant "+owner)
			}
			owners[hash] = name
		}
	}
}
