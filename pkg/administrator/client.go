package administrator

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// maxResponse bounds the size of a response body, in bytes.
const maxResponse = 16 << 20

// A Client calls the administration API. It tries the replicas in order until
// one is available, beginning with the one that was available last. It is safe
// for concurrent use.
type Client struct {
	addresses []string
	token     string
	client    *http.Client
	// preferred is the index of the address to try first.
	preferred atomic.Int64
}

// New returns a Client of the replicas at addresses, each IP:PORT. It sends token
// as the bearer token. The timeout applies to the request to each replica.
func New(addresses []string, token string, timeout time.Duration) *Client {
	return &Client{
		addresses: addresses,
		token:     token,
		client: &http.Client{
			Timeout: timeout,
		},
	}
}

// Change replaces a team's inputs. It sends the request to each replica in turn
// until one is available, which is safe because the change ID makes the change
// idempotent. A change without an ID gets one.
func (c *Client) Change(ctx context.Context, request ChangeRequest) (ChangeResponse, error) {
	response := ChangeResponse{}
	if request.ChangeID == "" {
		request.ChangeID = uuid.NewString()
	}
	err := c.call(ctx, http.MethodPost, "/v1/teams/"+url.PathEscape(request.Team)+"/changes", request, &response)
	return response, err
}

// Render does a dry run of a change.
func (c *Client) Render(ctx context.Context, request ChangeRequest) (RenderResponse, error) {
	response := RenderResponse{}
	err := c.call(ctx, http.MethodPost, "/v1/teams/"+url.PathEscape(request.Team)+"/render", request, &response)
	return response, err
}

// Team returns a team's accepted inputs and their rendered form.
func (c *Client) Team(ctx context.Context, team string) (Team, error) {
	response := Team{}
	err := c.call(ctx, http.MethodGet, "/v1/teams/"+url.PathEscape(team), nil, &response)
	return response, err
}

// Teams returns all teams, without their inputs.
func (c *Client) Teams(ctx context.Context) ([]Team, error) {
	var response []Team
	err := c.call(ctx, http.MethodGet, "/v1/teams", nil, &response)
	return response, err
}

// Status returns the system's state as seen by the replica that responds.
func (c *Client) Status(ctx context.Context) (Status, error) {
	response := Status{}
	err := c.call(ctx, http.MethodGet, "/v1/status", nil, &response)
	return response, err
}

// History returns the latest changes, newest first.
func (c *Client) History(ctx context.Context) ([]Record, error) {
	var response []Record
	err := c.call(ctx, http.MethodGet, "/v1/history", nil, &response)
	return response, err
}

// Targets returns all targets.
func (c *Client) Targets(ctx context.Context) ([]Target, error) {
	var response []Target
	err := c.call(ctx, http.MethodGet, "/v1/targets", nil, &response)
	return response, err
}

// Drain stops new calls to the targets of a node.
func (c *Client) Drain(ctx context.Context, node string) error {
	return c.call(ctx, http.MethodPost, "/v1/nodes/"+url.PathEscape(node)+"/drain", struct{}{}, &struct{}{})
}

// Bootstrap starts the replicated log on the first available replica.
func (c *Client) Bootstrap(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/v1/replicas/bootstrap", struct{}{}, &struct{}{})
}

// Backup makes the first available replica write a copy of its stored state into
// its data folder. It returns the path of the file on that replica.
func (c *Client) Backup(ctx context.Context) (string, error) {
	response := struct {
		Path string `json:"path"`
	}{}
	err := c.call(ctx, http.MethodPost, "/v1/replicas/backup", struct{}{}, &response)
	return response.Path, err
}

// call sends a request to each replica in turn until one responds with success or
// with an error other than CodeUnavailable.
func (c *Client) call(ctx context.Context, method, path string, request, response any) error {
	var last error
	unknown := false
	first := int(c.preferred.Load())
	for i := range c.addresses {
		index := (first + i) % len(c.addresses)
		err := c.callOne(ctx, c.addresses[index], method, path, request, response)
		apiErr := &Error{}
		if err == nil {
			c.preferred.Store(int64(index))
			return nil
		}
		isAPIError := errors.As(err, &apiErr)
		if isAPIError && apiErr.Code != CodeUnavailable {
			return err
		}
		if isAPIError {
			unknown = unknown || apiErr.State == Unknown
		} else {
			unknown = unknown || !refused(err)
		}
		last = err
		if ctx.Err() != nil {
			break
		}
	}
	state := NotTaken
	if unknown && method != http.MethodGet {
		state = Unknown
	}
	reason := "no replica's address is given"
	if last != nil {
		reason = "no replica is available: " + last.Error()
	}
	return &Error{
		Code:   CodeUnavailable,
		State:  state,
		Step:   "administrator",
		Reason: reason,
	}
}

// refused reports whether the connection was refused, so that the request was
// not sent.
func refused(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

func (c *Client) callOne(ctx context.Context, address, method, path string, request, response any) error {
	var body io.Reader
	if request != nil {
		data, err := json.Marshal(request)
		if err != nil {
			return errors.Wrapf(err, "administrator %s: encode request", address)
		}
		body = bytes.NewReader(data)
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return errors.Wrapf(err, "administrator %s: create request", address)
	}
	r.Header.Set("Authorization", "Bearer "+c.token)
	httpResponse, err := c.client.Do(r)
	if err != nil {
		return errors.Wrapf(err, "administrator %s: send request", address)
	}
	defer func() {
		_ = httpResponse.Body.Close()
	}()
	data, err := io.ReadAll(io.LimitReader(httpResponse.Body, maxResponse))
	if err != nil {
		return errors.Wrapf(err, "administrator %s: read response", address)
	}
	return decode(address, httpResponse.StatusCode, data, response)
}

func decode(address string, status int, data []byte, response any) error {
	if status == http.StatusOK {
		return errors.Wrapf(json.Unmarshal(data, response), "administrator %s: decode response", address)
	}
	apiErr := &Error{}
	if err := json.Unmarshal(data, apiErr); err != nil || apiErr.Code == "" {
		return errors.Newf("administrator %s: unexpected response with status %d: %s", address, status, data)
	}
	return apiErr
}
