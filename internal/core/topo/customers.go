package topo

import (
	"crypto/sha256"

	"mangostile/internal/base/units"
)

// KeyHash identifies a customer's key. Keys themselves are not kept, so that no log line or dump
// can hold one, and a lookup by hash does not tell by its duration how much of a key is right.
type KeyHash [sha256.Size]byte

// HashKey returns the hash of a key.
func HashKey(key string) KeyHash { return sha256.Sum256([]byte(key)) }

// Customer is a customer of the platform's operator.
type Customer struct {
	Name units.CustomerName
	// Rank goes before the rank of a route if HasRank is set; 0 is the most urgent.
	Rank    int
	HasRank bool
	Quota   Quota
}

// Quota limits the requests of a customer over all entry VMs together. The zero value is no limit.
type Quota struct {
	// Rate is in units per second; 0 means no limit. Burst is added to it in each window.
	Rate  float64
	Burst float64
	// ByTokens is true if the unit is a token, otherwise it is a request. A request without token
	// counts then counts as PlainTokens.
	ByTokens    bool
	PlainTokens units.Tokens
}

// Limited reports whether q limits anything.
func (q Quota) Limited() bool { return q.Rate > 0 }

// Cost returns the number of units as which a request counts that names the tokens of its prompt
// and its answer, or 0 for both.
func (q Quota) Cost(prompt, answer units.Tokens) float64 {
	switch {
	case !q.ByTokens:
		return 1
	case prompt > 0 || answer > 0:
		return float64(prompt) + float64(answer)
	default:
		return float64(q.PlainTokens)
	}
}

// Customers are the customers of a configuration. The zero value has none, so that no key is valid.
type Customers struct {
	list  []*Customer
	byKey map[KeyHash]*Customer
	// keys holds the keys that each customer was given.
	keys map[*Customer][]KeyHash
}

// Add adds a customer and its keys. An empty key is ignored: a request without a key has none.
func (c *Customers) Add(customer *Customer, keys []string) {
	if c.byKey == nil {
		c.byKey, c.keys = map[KeyHash]*Customer{}, map[*Customer][]KeyHash{}
	}
	c.list = append(c.list, customer)
	for _, key := range keys {
		if key != "" {
			hash := HashKey(key)
			c.byKey[hash] = customer
			c.keys[customer] = append(c.keys[customer], hash)
		}
	}
}

// ByKey returns the customer that holds a key, or nil.
func (c *Customers) ByKey(key KeyHash) *Customer { return c.byKey[key] }

// KeysOf returns the keys that a customer was given. One that was given to a later customer too is that
// one's.
func (c *Customers) KeysOf(customer *Customer) []KeyHash { return c.keys[customer] }

// All returns the customers; nil if c is nil. Callers must not change the list.
func (c *Customers) All() []*Customer {
	if c == nil {
		return nil
	}
	return c.list
}
