package members

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/netip"
)

// row is the value of a VM's row.
type row struct {
	Incarnation string  `json:"incarnation"`
	Domain      string  `json:"domain"`
	Addr        string  `json:"addr"` // host:port of the peer listener
	Weight      float64 `json:"weight"`
}

// maxWeight bounds the weight of a router. The weight of one VM is a few cores.
const maxWeight = 1e6

// decodeRow decodes the value of a VM's row, which may have any writer.
func decodeRow(value []byte) (row, error) {
	var r row
	if err := json.Unmarshal(value, &r); err != nil {
		return row{}, fmt.Errorf("decode member row: %.128s", err.Error())
	}
	if r.Incarnation == "" || !(r.Weight >= 0 && r.Weight <= maxWeight) {
		return row{}, errors.New("decode member row: incarnation is missing or weight is out of range")
	}
	if _, err := netip.ParseAddrPort(r.Addr); r.Addr != "" && err != nil { // empty without a peer link
		return row{}, fmt.Errorf("decode member row: address %.64q is no IP address and port", r.Addr)
	}
	return r, nil
}
