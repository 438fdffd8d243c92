package fireflymoor

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/base64"
	"encoding/hex"
	"slices"
	"strings"
)

// keyHashPrefix precedes the hash of a key in text.
const keyHashPrefix = "sha256:"

// keyIDBytes is the number of bytes of a key's hash in its id. The id is in the header
// of each call between nodes.
const keyIDBytes = 8

// A Tenant is one of the parties that share a team's services. Its calls are
// recognized by its keys.
type Tenant struct {
	// Name is the tenant's name.
	Name string
	// KeyHashes are the SHA-256 hashes of the tenant's keys. The keys themselves
	// are stored nowhere.
	KeyHashes [][32]byte
	// Priority replaces the priority of the routes for the tenant's calls if
	// HasPriority is set.
	Priority int
	// HasPriority reports whether the tenant has a priority of its own.
	HasPriority bool
	// Rate is the maximum number of calls a second over all nodes, or 0 if there is
	// no limit.
	Rate float64
	// Burst is the number of calls that may exceed the rate.
	Burst float64
	// Weight is the tenant's share when capacity is short, relative to the other
	// tenants.
	Weight float64
}

// HashKey returns the hash by which a key is stored.
func HashKey(key string) [32]byte {
	return sha256.Sum256([]byte(key))
}

// FormatKeyHash returns the hash of a key as text.
func FormatKeyHash(hash [32]byte) string {
	return keyHashPrefix + hex.EncodeToString(hash[:])
}

// ParseKeyHash returns the hash in a text that FormatKeyHash returned, and false if
// the text has another form.
func ParseKeyHash(text string) ([32]byte, bool) {
	digits, ok := strings.CutPrefix(text, keyHashPrefix)
	if !ok {
		return [32]byte{}, false
	}
	decoded, err := hex.DecodeString(digits)
	if err != nil {
		return [32]byte{}, false
	}
	return HashFrom(decoded)
}

// KeyID returns a short id of the key with a hash. It does not identify the key to
// clients, and different keys may have the same id.
func KeyID(hash [32]byte) string {
	return base64.RawURLEncoding.EncodeToString(hash[:keyIDBytes])
}

// HasKeyID reports whether a tenant has a key with an id. It takes time in proportion to
// the number of keys.
func (c Configuration) HasKeyID(id string) bool {
	for hash := range c.tenantsByKey {
		if KeyID(hash) == id {
			return true
		}
	}
	return false
}

// WithTenants returns a copy of the configuration with other tenants.
func (c Configuration) WithTenants(tenants []Tenant) Configuration {
	c.tenants = slices.Clone(tenants)
	c.tenantsByName = map[string]int{}
	c.tenantsByKey = map[[32]byte]int{}
	for i := range c.tenants {
		c.tenantsByName[c.tenants[i].Name] = i
		for _, hash := range c.tenants[i].KeyHashes {
			c.tenantsByKey[hash] = i
		}
	}
	return c
}

// HasTenants reports whether the configuration has tenants. If it does, calls need a
// key.
func (c Configuration) HasTenants() bool {
	return len(c.tenants) > 0
}

// Tenants returns the tenants in the order in which they were given.
func (c Configuration) Tenants() []Tenant {
	return slices.Clone(c.tenants)
}

// Tenant returns the named tenant, and false if there is none.
func (c Configuration) Tenant(name string) (Tenant, bool) {
	i, ok := c.tenantsByName[name]
	if !ok {
		return Tenant{}, false
	}
	return c.tenants[i], true
}

// TenantByKey returns the tenant that has a key, and false if there is none. The time
// of the lookup depends only on the key's hash, which a client cannot steer towards a
// stored one, and the hashes are compared in constant time.
func (c Configuration) TenantByKey(key string) (Tenant, bool) {
	if key == "" {
		return Tenant{}, false
	}
	hash := HashKey(key)
	i, ok := c.tenantsByKey[hash]
	if !ok {
		return Tenant{}, false
	}
	found := 0
	for _, stored := range c.tenants[i].KeyHashes {
		found |= subtle.ConstantTimeCompare(stored[:], hash[:])
	}
	return c.tenants[i], found == 1
}
