package caller

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/fireflymoor/fireflymoor"
	"github.com/fireflymoor/fireflymoor/internal/annotator"
	"github.com/fireflymoor/fireflymoor/internal/waiter"
)

const (
	// versionTimeout bounds the wait of a call with an unknown key until it is known
	// that the version in force is the newest, or until a newer one is in force. It
	// allows for a query of a control replica in another region.
	versionTimeout = 400 * time.Millisecond
	// versionPollInterval is how often the version in force is checked meanwhile.
	versionPollInterval = 5 * time.Millisecond
	// versionRetryDelay is how long callers are asked to wait if it is not known that
	// the version in force is the newest. Most versions are in force within that time.
	versionRetryDelay = 500 * time.Millisecond
)

var (
	errUnknownKey = errors.New("the call has no valid key")
	errWithdrawn  = errors.New("the key of the call was withdrawn")
)

// A Quota limits the rates of tenants' calls.
type Quota interface {
	// Admit reports whether a call of a tenant may run, and counts it if so. If not,
	// it returns the time after which the tenant may call again.
	Admit(tenant fireflymoor.Tenant, now time.Time) (admitted bool, retryAfter time.Duration)
}

// identity is on whose behalf a call is made.
type identity struct {
	// tenant is the tenant, without a name if there is none.
	tenant fireflymoor.Tenant
	// key is the key of the call, or empty if the tenant does not follow from a key.
	key string
	// keyID is the id of the key for other nodes, or empty.
	keyID string
	// version is the number of the version that has the key.
	version uint64
	// nested is set if a target of this instance makes the call while it runs
	// another.
	nested bool
}

// admission is what is decided about a call before it is sent.
type admission struct {
	view     fireflymoor.View
	route    fireflymoor.Route
	identity identity
}

// refusal returns a refusal of a call that was not run.
func refusal(status int, reason string) *fireflymoor.Refusal {
	return &fireflymoor.Refusal{
		Status:  status,
		Outcome: fireflymoor.NotRun,
		Reason:  reason,
	}
}

// admit finds a call's route and its tenant, or returns why the call is refused.
func (h *Handler) admit(request *http.Request, metadata fireflymoor.CallMetadata) (admission, *fireflymoor.Refusal) {
	a := admission{
		view: h.options.Viewer.View(),
	}
	r := h.identify(&a, request, metadata)
	if r == nil || r.Status != http.StatusUnauthorized || metadata.Key == "" {
		return a, r
	}
	newer, err := h.awaitNewest(request.Context(), a.view)
	if err != nil {
		h.options.Log.Info().Err(err).Msg("caller: it is not known whether a key is valid")
		unsure := refusal(http.StatusServiceUnavailable, "it is not known whether the key is valid")
		unsure.RetryAfter = versionRetryDelay
		return a, unsure
	}
	if newer.Configuration().Number() == a.view.Configuration().Number() {
		return a, r
	}
	a.view = newer
	return a, h.identify(&a, request, metadata)
}

// awaitNewest returns the view once a version is in force that is at least as new as
// any that was accepted when awaitNewest was called. A key that the version lacks is
// in no configuration.
func (h *Handler) awaitNewest(ctx context.Context, view fireflymoor.View) (fireflymoor.View, error) {
	if h.options.Newest == nil {
		return view, nil
	}
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	newest, err := h.options.Newest(ctx)
	if err != nil {
		return view, err
	}
	for {
		view = h.options.Viewer.View()
		if view.Configuration().Number() >= newest {
			return view, nil
		}
		if ctx.Err() != nil {
			return view, errors.Newf("caller: version %d is not in force yet", newest)
		}
		waiter.Pause(ctx, versionPollInterval)
	}
}

// identify finds a call's route and its tenant in the view of the admission, or returns
// why the call is refused. A call that names a running call as its parent is nested
// only without a key: targets never get keys.
func (h *Handler) identify(a *admission, request *http.Request, metadata fireflymoor.CallMetadata) *fireflymoor.Refusal {
	configuration := a.view.Configuration()
	if configuration.Number() == 0 {
		return refusal(http.StatusServiceUnavailable, "no configuration is in force")
	}
	route, ok := configuration.Match(request.Host, request.URL.Path)
	if !ok {
		return refusal(http.StatusNotFound, "no route matches")
	}
	a.route = route
	a.identity = identity{
		version: configuration.Number(),
	}
	tenants := configuration.HasTenants()
	if tenants && metadata.Key != "" {
		tenant, known := configuration.TenantByKey(metadata.Key)
		if known {
			a.identity.tenant = tenant
			a.identity.key = metadata.Key
			a.identity.keyID = fireflymoor.KeyID(fireflymoor.HashKey(metadata.Key))
		}
		if !known && !route.AuthExempt {
			return refusal(http.StatusUnauthorized, errUnknownKey.Error())
		}
		return nil
	}
	if metadata.Parent != "" {
		var tenant string
		tenant, a.identity.nested = h.options.IsRunning(metadata.Parent)
		a.identity.tenant = namedTenant(configuration, tenant)
	}
	if tenants && !a.identity.nested && !route.AuthExempt {
		return refusal(http.StatusUnauthorized, errUnknownKey.Error())
	}
	return nil
}

// namedTenant returns the tenant with a name, also if the configuration no longer has
// it: its calls in progress are finished.
func namedTenant(configuration fireflymoor.Configuration, name string) fireflymoor.Tenant {
	if tenant, ok := configuration.Tenant(name); ok {
		return tenant
	}
	return fireflymoor.Tenant{
		Name: name,
	}
}

// checkRequest returns why a call is refused that may use its route, or nil.
func (h *Handler) checkRequest(request *http.Request, a admission, metadataErr error) *fireflymoor.Refusal {
	switch {
	case request.ContentLength > a.route.MaxBody:
		return refusal(http.StatusRequestEntityTooLarge, "the body is too large")
	case metadataErr != nil:
		return refusal(http.StatusBadRequest, metadataErr.Error())
	}
	return nil
}

// checkQuota returns a refusal if the call exceeds the rate of its tenant, or nil.
// Nested calls are part of a call that was admitted.
func (h *Handler) checkQuota(i identity, now time.Time) *fireflymoor.Refusal {
	if h.options.Quota == nil || i.nested || i.tenant.Name == "" {
		return nil
	}
	admitted, retryAfter := h.options.Quota.Admit(i.tenant, now)
	if admitted {
		return nil
	}
	r := refusal(http.StatusTooManyRequests, "the tenant's rate is exceeded")
	r.RetryAfter = retryAfter
	return r
}

// recheckKey looks the call's key up again if another version is in force, such as
// after a wait. It reports false if the key was withdrawn.
func (h *Handler) recheckKey(c *call) bool {
	i := &c.identity
	configuration := h.options.Viewer.View().Configuration()
	if configuration.Number() == i.version || !configuration.HasTenants() {
		return true
	}
	// The version in which the call arrived may have had no tenants.
	h.options.Dialect.RemoveKey(c.request.Header)
	if i.key == "" {
		return true
	}
	i.version = configuration.Number()
	tenant, known := configuration.TenantByKey(i.key)
	i.tenant = tenant
	if !known {
		i.key = ""
		i.keyID = ""
	}
	return known || c.route.AuthExempt
}

// setTenantHeaders sets the headers that tell the target's node on whose behalf the
// call is made.
func (c *call) setTenantHeaders() {
	annotator.SetOrRemove(c.request.Header, annotator.Tenant, c.identity.tenant.Name)
	annotator.SetOrRemove(c.request.Header, annotator.KeyID, c.identity.keyID)
}
