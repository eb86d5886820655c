package peer

import (
	"mangostile/internal/base/clock"
	"mangostile/internal/base/units"
)

// CreditRequest is sent to the keeper of customers' quotas. It reports what their requests used at
// the sender, and asks for credit. One without asks is a sign of life that is to be answered.
type CreditRequest struct {
	// Sequence counts the requests of the sender, whose process is Incarnation.
	Sequence    uint32               `msgpack:"n"`
	Incarnation units.Incarnation    `msgpack:"i"`
	Domain      units.FailureDomain  `msgpack:"d"`
	Address     string               `msgpack:"a"`
	Asks        []CreditAsk          `msgpack:"k,omitempty"`
	TakesOver   []units.CustomerName `msgpack:"t,omitempty"`
}

// CreditAsk is about one customer. All amounts are of the sender alone.
type CreditAsk struct {
	Customer units.CustomerName `msgpack:"c"`
	// Spent and Returned are what was spent, and what of it was returned unused, since the process
	// started; neither ever falls. Reported is the Spent that a keeper is known to have counted.
	Spent    units.Amount `msgpack:"s"`
	Reported units.Amount `msgpack:"r,omitempty"`
	Returned units.Amount `msgpack:"b,omitempty"`
	// Need is what waiting requests need at once. Want, if greater than Need, is what the sender could
	// use soon. Biggest is the cost of the biggest of the last requests.
	Need    units.Amount `msgpack:"w,omitempty"`
	Want    units.Amount `msgpack:"m,omitempty"`
	Biggest units.Amount `msgpack:"l,omitempty"`
	// Share is the part of the sender in the customer's use when the fleet was last whole, in 1/65535.
	Share uint16 `msgpack:"p,omitempty"`
	// Left is what is left of the last grant and still wanted: the rest is given up.
	Left units.Amount `msgpack:"e,omitempty"`
	// Former is set if another keeper than the receiver replied last. Left is then valid for LeftTTL;
	// Recent is what was spent in the quota's window; History is that of its reply, HistoryAge ago.
	Former     bool         `msgpack:"f,omitempty"`
	LeftTTL    clock.Millis `msgpack:"t,omitempty"`
	Recent     units.Amount `msgpack:"o,omitempty"`
	History    []byte       `msgpack:"h,omitempty"`
	HistoryAge clock.Millis `msgpack:"g,omitempty"`
}

// CreditReply answers a CreditRequest.
type CreditReply struct {
	Sequence uint32        `msgpack:"n"`
	Grants   []CreditGrant `msgpack:"k,omitempty"`
}

// CreditGrant replies to a CreditAsk, or to a take-over of a customer.
type CreditGrant struct {
	Customer units.CustomerName `msgpack:"c"`
	// Limit is up to where Spent of the receiver may rise within TTL of its request.
	Limit units.Amount `msgpack:"l,omitempty"`
	TTL   clock.Millis `msgpack:"t,omitempty"`
	// RetryAfter, if not 0, is the time after which there is credit again.
	RetryAfter clock.Millis `msgpack:"r,omitempty"`
	// History is what is known of the use of the quota, see package credit; it isn't in every reply.
	History []byte `msgpack:"h,omitempty"`
	// CutOff is true if the keeper grants only a part of the limit, since failure domains are silent.
	CutOff bool `msgpack:"o,omitempty"`
	// Keeper, if not empty, is the keeper to ask in place of the sender.
	Keeper        units.EntryVMID `msgpack:"k,omitempty"`
	KeeperAddress string          `msgpack:"a,omitempty"`
}

func (*CreditRequest) peerMessage() {}
func (*CreditReply) peerMessage()   {}

// Check implements Message.
func (m *CreditRequest) Check() error {
	if m.Address == "" || m.Incarnation == 0 {
		return invalid("credit_request", "no address or incarnation")
	}
	for i := range m.Asks {
		a := &m.Asks[i]
		if a.Customer == "" || min(a.Spent, a.Returned, a.Need, a.Want, a.Biggest, a.Left, a.Recent) < 0 || a.Reported < 0 || a.Reported > a.Spent || min(a.LeftTTL, a.HistoryAge) < 0 {
			return invalid("credit_request", "no customer, or an amount or a time out of range")
		}
	}
	return nil
}

// Check implements Message.
func (m *CreditReply) Check() error {
	for i := range m.Grants {
		g := &m.Grants[i]
		if g.Customer == "" || g.Limit < 0 || min(g.TTL, g.RetryAfter) < 0 {
			return invalid("credit_reply", "no customer, or an amount or a time out of range")
		}
	}
	return nil
}
