package caller

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
)

// tenantForwarder is a forwarder and viewer of a configuration with tenants. It keeps
// the headers of the last call.
type tenantForwarder struct {
	drainingForwarder

	tenants []fireflymoor.Tenant
	number  uint64
	header  http.Header
	tries   int
	// onTry is called for each try. If it returns an error, the try was not run.
	onTry func() error
}

// View implements fireflymoor.Viewer.
func (f *tenantForwarder) View() fireflymoor.View {
	view := f.drainingForwarder.View()
	configuration := view.Configuration()
	route := configuration.Routes()[0]
	route.Priority = 2
	exempt := route
	exempt.Name = "exempt"
	exempt.PathPrefix = "/exempt"
	exempt.AuthExempt = true
	return view.WithConfiguration(fireflymoor.NewConfiguration("team", configuration.Services(),
		[]fireflymoor.Route{route, exempt}, configuration.Limits()).WithTenants(f.tenants).WithNumber(f.number))
}

// Forward implements fireflymoor.Forwarder.
func (f *tenantForwarder) Forward(_ context.Context, _ fireflymoor.Target, in *http.Request) (*http.Response, fireflymoor.Outcome, error) {
	f.tries++
	f.header = in.Header.Clone()
	if f.onTry != nil {
		if err := f.onTry(); err != nil {
			return nil, fireflymoor.NotRun, err
		}
	}
	return &http.Response{
		StatusCode: http.StatusOK,
		Header:     http.Header{},
		Body:       http.NoBody,
	}, fireflymoor.Answered, nil
}

// parentDialect is the native dialect with a header for the id of the parent.
type parentDialect struct {
	fireflymoor.Dialect
}

// ReadCall implements fireflymoor.Dialect.
func (d parentDialect) ReadCall(header http.Header) (fireflymoor.CallMetadata, error) {
	metadata, err := d.Dialect.ReadCall(header)
	metadata.Parent = header.Get("Parent")
	return metadata, err
}

func newTenant(name, key string) fireflymoor.Tenant {
	return fireflymoor.Tenant{
		Name:      name,
		KeyHashes: [][32]byte{fireflymoor.HashKey(key)},
		Weight:    1,
	}
}

// newTenantHandler returns a handler in whose configuration the tenants first and second
// have keys, and at whose instance the call parent runs for the second one.
func newTenantHandler() (*Handler, *tenantForwarder) {
	f := &tenantForwarder{
		tenants: []fireflymoor.Tenant{newTenant("first", "key-1"), newTenant("second", "key-2")},
		number:  1,
	}
	f.tenants[1].HasPriority = true
	h := newHandler(&f.drainingForwarder)
	h.options.Viewer = f
	h.options.Forwarder = f
	h.options.Dialect = parentDialect{Dialect: annotator.NewDialect()}
	h.options.Newest = func(context.Context) (uint64, error) { return f.number, nil }
	h.options.IsRunning = func(id string) (string, bool) { return "second", id == "parent" }
	return h, f
}

// makeTenantCall makes a call with a forged tenant, and with a key and a parent unless
// they are empty.
func makeTenantCall(h *Handler, path, key, parent string) *httptest.ResponseRecorder {
	request := httptest.NewRequest(http.MethodPost, path, http.NoBody)
	request.Header.Set(annotator.Tenant, "forged")
	request.Header.Set(annotator.KeyID, "forged")
	annotator.SetOrRemove(request.Header, annotator.Key, key)
	annotator.SetOrRemove(request.Header, "Parent", parent)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, request)
	return w
}

// TestIdentity makes calls with and without valid keys. Calls without one must not run,
// and for the others the target must get the tenant's name, and never the key.
func TestIdentity(t *testing.T) {
	for name, c := range map[string]struct {
		path, key, parent string
		status            int
		tenant, rank      string
	}{
		"valid key":               {path: "/x", key: "key-1", status: http.StatusOK, tenant: "first", rank: "2"},
		"tenant's priority":       {path: "/x", key: "key-2", status: http.StatusOK, tenant: "second", rank: "0"},
		"unknown key":             {path: "/x", key: "other", status: http.StatusUnauthorized},
		"hash as key":             {path: "/x", key: fireflymoor.FormatKeyHash(fireflymoor.HashKey("key-1")), status: http.StatusUnauthorized},
		"no key":                  {path: "/x", status: http.StatusUnauthorized},
		"exempt":                  {path: "/exempt", status: http.StatusOK, rank: "2"},
		"exempt, unknown key":     {path: "/exempt", key: "other", status: http.StatusOK, rank: "2"},
		"exempt, valid key":       {path: "/exempt", key: "key-1", status: http.StatusOK, tenant: "first", rank: "2"},
		"nested":                  {path: "/x", parent: "parent", status: http.StatusOK, tenant: "second", rank: "-1"},
		"parent is not running":   {path: "/x", parent: "other", status: http.StatusUnauthorized},
		"parent and unknown key":  {path: "/x", parent: "parent", key: "other", status: http.StatusUnauthorized},
		"parent of other, by key": {path: "/x", parent: "parent", key: "key-1", status: http.StatusOK, tenant: "first", rank: "2"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, f := newTenantHandler()
			w := makeTenantCall(h, c.path, c.key, c.parent)
			is.Equal(w.Code, c.status)
			if c.status != http.StatusOK {
				is.Equal(f.tries, 0)
				is.Equal(w.Header().Get(annotator.Outcome), fireflymoor.NotRun.String())
				is.Equal(w.Header().Get("Retry-After"), "")
				return
			}
			is.Equal(f.header.Get(annotator.Tenant), c.tenant)
			is.Equal(f.header.Get(annotator.Rank), c.rank)
			is.True(f.header.Get(annotator.KeyID) != "forged")
			for _, values := range f.header {
				is.True(!strings.Contains(strings.Join(values, " "), "key-"))
			}
		})
	}
}

// TestWithoutTenants checks that a configuration without tenants needs no key, and that
// the fields that could carry one reach the target.
func TestWithoutTenants(t *testing.T) {
	is := is.New(t)
	h, f := newTenantHandler()
	f.tenants = nil
	is.Equal(makeTenantCall(h, "/x", "callers-own", "").Code, http.StatusOK)
	is.Equal(f.header.Get(annotator.Key), "callers-own")
	is.Equal(f.header.Get(annotator.Tenant), "")
}

// TestKeyOfNewerVersion sends a key that was added in a version that is not in force
// here yet. The call must be served once the version is in force. If it does not arrive,
// or if it is not known whether there is one, the call must be refused as not run and
// not as unauthorized.
func TestKeyOfNewerVersion(t *testing.T) {
	for name, c := range map[string]struct {
		arrives  bool
		queryErr error
		status   int
	}{
		"arrives":       {arrives: true, status: http.StatusOK},
		"late":          {status: http.StatusServiceUnavailable},
		"no quorum":     {arrives: true, queryErr: errors.New("no quorum"), status: http.StatusServiceUnavailable},
		"other version": {arrives: true, status: http.StatusUnauthorized},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			h, f := newTenantHandler()
			h.options.Newest = func(context.Context) (uint64, error) {
				if c.arrives {
					f.number = 2
					f.tenants = append(f.tenants, newTenant("third", "key-3"))
				}
				return 2, c.queryErr
			}
			key := "key-3"
			if name == "other version" {
				key = "key-4"
			}
			w := makeTenantCall(h, "/x", key, "")
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Retry-After") != "", c.status == http.StatusServiceUnavailable)
			if c.status == http.StatusOK {
				is.Equal(f.header.Get(annotator.Tenant), "third")
			} else {
				is.Equal(f.tries, 0)
			}
		})
	}
}

// TestWithdrawnKey withdraws a key while its call waits for another try. The call must
// not be sent again.
func TestWithdrawnKey(t *testing.T) {
	is := is.New(t)
	h, f := newTenantHandler()
	f.onTry = func() error {
		f.number = 2
		f.tenants = f.tenants[1:]
		return errors.Wrap(fireflymoor.ErrBusy, "test")
	}
	w := makeTenantCall(h, "/x", "key-1", "")
	is.Equal(w.Code, http.StatusUnauthorized)
	is.Equal(w.Header().Get(annotator.Outcome), fireflymoor.NotRun.String())
	is.Equal(f.tries, 1)
	is.Equal(makeTenantCall(h, "/x", "key-1", "").Code, http.StatusUnauthorized)
	is.Equal(f.tries, 1)
}

// fixedQuota admits a number of calls.
type fixedQuota struct {
	left    int
	tenants []string
}

// Admit implements Quota.
func (q *fixedQuota) Admit(tenant fireflymoor.Tenant, _ time.Time) (bool, time.Duration) {
	q.tenants = append(q.tenants, tenant.Name)
	q.left--
	return q.left >= 0, 3 * time.Second
}

// TestQuota checks that calls beyond a tenant's rate are refused with 429 before they
// are sent, and that calls that are nested, have no tenant, or are refused anyway do not
// count.
func TestQuota(t *testing.T) {
	is := is.New(t)
	h, f := newTenantHandler()
	q := &fixedQuota{left: 1}
	h.options.Quota = q
	is.Equal(makeTenantCall(h, "/x", "other", "").Code, http.StatusUnauthorized)
	is.Equal(makeTenantCall(h, "/x", "", "parent").Code, http.StatusOK)
	is.Equal(makeTenantCall(h, "/exempt", "", "").Code, http.StatusOK)
	is.Equal(makeTenantCall(h, "/x", "key-1", "").Code, http.StatusOK)
	w := makeTenantCall(h, "/x", "key-1", "")
	is.Equal(w.Code, http.StatusTooManyRequests)
	is.Equal(w.Header().Get("Retry-After"), "3")
	is.Equal(w.Header().Get(annotator.Outcome), fireflymoor.NotRun.String())
	is.Equal(f.tries, 3)
	is.Equal(q.tenants, []string{"first", "first"})
}
