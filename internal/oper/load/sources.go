package load

import (
	"encoding/csv"
	"encoding/json"
	"os"
	"time"

	"mangostile/internal/base/units"
	"mangostile/internal/core/event"
	"mangostile/internal/core/table"

	"github.com/pelletier/go-toml/v2"
	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// ReadAdapters returns the adapters of an exported table, a CSV file whose first
// line names the columns.
func ReadAdapters(path string) ([]units.AdapterVersion, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, errors.Wrap(err, "read table: name an existing file")
	}
	defer func() { _ = file.Close() }()
	lines, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return nil, errors.Wrapf(err, "table %s", path)
	}
	if len(lines) == 0 || lines[0][0] != table.AdapterColumn {
		return nil, errors.Errorf("table %s: the first column must be %s", path, table.AdapterColumn)
	}
	var adapters []units.AdapterVersion
	for _, line := range lines[1:] {
		adapters = append(adapters, units.AdapterVersion{Adapter: units.AdapterName(line[0])})
	}
	return adapters, nil
}

// listTimeout bounds the wait for a list of adapters.
const listTimeout = 10 * time.Second

// ListAdapters returns the adapters that an entry VM offers the holder of token.
func ListAdapters(address, token string) ([]units.AdapterVersion, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + address + "/v1/models")
	if token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+token)
	}
	if err := fasthttp.DoTimeout(req, resp, listTimeout); err != nil {
		return nil, errors.Wrapf(err, "list adapters of entry VM %s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return nil, errors.Wrapf(readRefusal(resp.StatusCode(), resp.Body()), "list adapters of entry VM %s", address)
	}
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if err := json.Unmarshal(resp.Body(), &list); err != nil {
		return nil, errors.Wrapf(err, "list adapters of entry VM %s", address)
	}
	var adapters []units.AdapterVersion
	for _, model := range list.Data {
		adapters = append(adapters, units.ParseAdapterVersion(model.ID))
	}
	return adapters, nil
}

// ReadStandins returns the addresses of the engines and plain services in a
// settings file of the stand-ins.
func ReadStandins(path string) (engines, services []string, err error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, nil, errors.Wrap(err, "read settings of the stand-ins: name an existing file")
	}
	var settings struct {
		VMs []event.VM `toml:"vms"`
	}
	if err := toml.Unmarshal(text, &settings); err != nil {
		return nil, nil, errors.Wrapf(err, "settings %s", path)
	}
	for _, vm := range settings.VMs {
		switch {
		case vm.Entry:
		case vm.Kind == event.KindEngine:
			engines = append(engines, vm.Address)
		default:
			services = append(services, vm.Address)
		}
	}
	return engines, services, nil
}
