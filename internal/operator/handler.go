package operator

import (
	"context"
	"crypto/subtle"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/go-kit/kit/endpoint"
	httptransport "github.com/go-kit/kit/transport/http"

	"github.com/fireflymoor/fireflymoor/pkg/administrator"
	"github.com/fireflymoor/fireflymoor/pkg/parser"
)

const (
	// maxRequestBytes bounds the size of a request body. It has room for a template
	// and values of the maximum size with JSON escapes.
	maxRequestBytes = 4 << 20
	// maxPathTextBytes is the maximum length of a name in the path of a request.
	maxPathTextBytes = 1024
	// allTeams stands for the team of the token that authorizes all requests.
	allTeams = "*"
)

type contextKey int

const (
	tokenKey contextKey = iota
	operatorKey
	methodKey
)

// operatorOf returns the team of the request's token, or "" before authorization.
func operatorOf(ctx context.Context) string {
	name, _ := ctx.Value(operatorKey).(string)
	return name
}

// scopeFunc returns the team whose token a request needs. The result is allTeams
// if it needs the token for all teams, or "" if any known token will do.
type scopeFunc func(request any) string

// NewHandler returns an http.Handler that serves the administration API. The
// bearer tokens are given by team, that for all teams under "*".
func NewHandler(s *Service, tokens map[string]string) http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, scopeOf scopeFunc, decode httptransport.DecodeRequestFunc, e endpoint.Endpoint) {
		mux.Handle(pattern, httptransport.NewServer(
			authorize(tokens, scopeOf)(e),
			checkPath(decode),
			httptransport.EncodeJSONResponse,
			httptransport.ServerBefore(withToken, withMethod),
			httptransport.ServerErrorEncoder(encodeError),
		))
	}
	handle("POST /v1/teams/{team}/changes", teamScope, decodeChange, func(ctx context.Context, r any) (any, error) {
		return s.change(ctx, r.(administrator.ChangeRequest))
	})
	handle("POST /v1/teams/{team}/render", teamScope, decodeChange, func(ctx context.Context, r any) (any, error) {
		return s.render(ctx, r.(administrator.ChangeRequest))
	})
	handle("GET /v1/teams/{team}", teamScope, decodeTeam, func(ctx context.Context, r any) (any, error) {
		return s.team(ctx, r.(administrator.ChangeRequest).Team)
	})
	handle("GET /v1/teams", anyScope, decodeNothing, func(ctx context.Context, _ any) (any, error) {
		return s.teams(ctx)
	})
	handle("GET /v1/status", anyScope, decodeNothing, func(ctx context.Context, _ any) (any, error) {
		return s.replica.Status(ctx)
	})
	handle("GET /v1/history", anyScope, decodeNothing, func(ctx context.Context, _ any) (any, error) {
		return s.history(ctx)
	})
	handle("GET /v1/targets", anyScope, decodeNothing, func(ctx context.Context, _ any) (any, error) {
		return s.targets(ctx)
	})
	handleRollouts(s, handle)
	handle("POST /v1/nodes/{node}/drain", adminScope, decodeNode, func(ctx context.Context, r any) (any, error) {
		return struct{}{}, s.replica.Drain(ctx, r.(string))
	})
	handle("POST /v1/replicas/bootstrap", adminScope, decodeNothing, func(ctx context.Context, _ any) (any, error) {
		return struct{}{}, s.replica.Bootstrap(ctx)
	})
	handle("POST /v1/replicas/backup", adminScope, decodeNothing, func(ctx context.Context, _ any) (any, error) {
		path, err := s.replica.Backup(ctx)
		return map[string]string{"path": path}, err
	})
	return mux
}

// handleFunc registers an endpoint under a pattern.
type handleFunc func(pattern string, scopeOf scopeFunc, decode httptransport.DecodeRequestFunc, e endpoint.Endpoint)

// handleRollouts registers the endpoints of roll-outs.
func handleRollouts(s *Service, handle handleFunc) {
	handle("POST /v1/teams/{team}/rollouts/{service}", rolloutScope, decodeRollout, func(ctx context.Context, r any) (any, error) {
		request := r.(administrator.RolloutRequest)
		return s.StartRollout(ctx, RolloutOrder{
			ID:       request.ChangeID,
			Team:     request.Team,
			Service:  request.Service,
			Version:  request.Version,
			Duration: time.Duration(min(request.DurationMilliseconds, MaxRollout.Milliseconds()+1)) * time.Millisecond,
		})
	})
	handle("POST /v1/teams/{team}/rollouts/{service}/abort", rolloutScope, decodeRollout, func(ctx context.Context, r any) (any, error) {
		request := r.(administrator.RolloutRequest)
		return s.AbortRollout(ctx, request.ChangeID, request.Team, request.Service)
	})
	handle("GET /v1/teams/{team}/rollouts/{service}", rolloutScope, decodeRolloutPath, func(ctx context.Context, r any) (any, error) {
		request := r.(administrator.RolloutRequest)
		return s.Rollout(ctx, request.Team, request.Service)
	})
	handle("GET /v1/teams/{team}/rollouts", rolloutScope, decodeRolloutPath, func(ctx context.Context, r any) (any, error) {
		return s.rollouts(ctx, r.(administrator.RolloutRequest).Team)
	})
}

func teamScope(request any) string {
	return request.(administrator.ChangeRequest).Team
}

func rolloutScope(request any) string {
	return request.(administrator.RolloutRequest).Team
}

func anyScope(any) string {
	return ""
}

func adminScope(any) string {
	return allTeams
}

// withToken stores the request's bearer token in the context.
func withToken(ctx context.Context, r *http.Request) context.Context {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return context.WithValue(ctx, tokenKey, token)
}

// withMethod stores the request's method in the context.
func withMethod(ctx context.Context, r *http.Request) context.Context {
	return context.WithValue(ctx, methodKey, r.Method)
}

// authorize returns a middleware that accepts a request if its token is that of
// the team given by scopeOf or that for all teams.
func authorize(tokens map[string]string, scopeOf scopeFunc) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, request any) (any, error) {
			token, _ := ctx.Value(tokenKey).(string)
			owner := ownerOf(tokens, token)
			if owner == "" {
				return nil, &administrator.Error{
					Code:   administrator.CodeUnauthorized,
					State:  administrator.NotTaken,
					Step:   "authorize",
					Reason: "the bearer token is missing or unknown",
				}
			}
			if team := scopeOf(request); team != "" && owner != allTeams && owner != team {
				return nil, &administrator.Error{
					Code:   administrator.CodeForbidden,
					State:  administrator.NotTaken,
					Step:   "authorize",
					Reason: "the token of team " + owner + " does not reach this",
				}
			}
			return next(context.WithValue(ctx, operatorKey, owner), request)
		}
	}
}

// ownerOf returns the team of a token, or "" if the token is unknown. Tokens are
// compared in constant time.
func ownerOf(tokens map[string]string, token string) string {
	found := ""
	for owner, known := range tokens {
		if known != "" && subtle.ConstantTimeCompare([]byte(known), []byte(token)) == 1 {
			found = owner
		}
	}
	return found
}

// checkPath returns a decoder that refuses requests whose path names what no message
// between processes can hold.
func checkPath(decode httptransport.DecodeRequestFunc) httptransport.DecodeRequestFunc {
	return func(ctx context.Context, r *http.Request) (any, error) {
		for _, wildcard := range []string{"team", "service", "node"} {
			if value := r.PathValue(wildcard); value != "" && !parser.ValidText(value, maxPathTextBytes) {
				return nil, invalidError("decode", fmt.Sprintf("the %s in the path is not text of at most %d bytes", wildcard, maxPathTextBytes))
			}
		}
		return decode(ctx, r)
	}
}

func decodeChange(_ context.Context, r *http.Request) (any, error) {
	request := administrator.ChangeRequest{}
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return nil, invalidError("decode", "the body is no such request: "+err.Error())
	}
	request.Team = r.PathValue("team")
	return request, nil
}

func decodeRollout(_ context.Context, r *http.Request) (any, error) {
	request := administrator.RolloutRequest{}
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxRequestBytes))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&request); err != nil {
		return nil, invalidError("decode", "the body is no such request: "+err.Error())
	}
	request.Team = r.PathValue("team")
	request.Service = r.PathValue("service")
	return request, nil
}

func decodeRolloutPath(_ context.Context, r *http.Request) (any, error) {
	return administrator.RolloutRequest{
		Team:    r.PathValue("team"),
		Service: r.PathValue("service"),
	}, nil
}

func decodeTeam(_ context.Context, r *http.Request) (any, error) {
	return administrator.ChangeRequest{
		Team: r.PathValue("team"),
	}, nil
}

func decodeNode(_ context.Context, r *http.Request) (any, error) {
	return r.PathValue("node"), nil
}

func decodeNothing(context.Context, *http.Request) (any, error) {
	return struct{}{}, nil
}

// statusByCode maps the codes of API errors to HTTP statuses.
var statusByCode = map[string]int{
	administrator.CodeInvalid:      http.StatusUnprocessableEntity,
	administrator.CodeConflict:     http.StatusConflict,
	administrator.CodeReused:       http.StatusConflict,
	administrator.CodeForbidden:    http.StatusForbidden,
	administrator.CodeUnauthorized: http.StatusUnauthorized,
	administrator.CodeNotFound:     http.StatusNotFound,
	administrator.CodeUnavailable:  http.StatusServiceUnavailable,
}

// encodeError writes an error as a JSON response. An error that is not an
// *administrator.Error gets the code CodeUnavailable. The request may have had an
// effect then, unless it only reads.
func encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	apiErr := &administrator.Error{}
	if !errors.As(err, &apiErr) {
		state := administrator.Unknown
		if ctx.Value(methodKey) == http.MethodGet {
			state = administrator.NotTaken
		}
		apiErr = &administrator.Error{
			Code:   administrator.CodeUnavailable,
			State:  state,
			Step:   "operator",
			Reason: err.Error(),
		}
	}
	w.Header().Set("Content-Type", "application/json; charset=utf-8")
	w.WriteHeader(statusByCode[apiErr.Code])
	_ = json.NewEncoder(w).Encode(apiErr)
}
