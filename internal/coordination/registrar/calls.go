package registrar

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/labstack/echo/v4"

	"oleanderrack.example/oleanderrack/internal/coordination/replica"
	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/internal/state/registry"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// maxCallBytes bounds a call, which may carry log entries with catalogs.
const maxCallBytes = 32 << 20

// Routes registers the Directory and Replication services.
func (r *Registrar) Routes(e *echo.Echo) {
	add := func(h interface {
		http.Handler
		PathPrefix() string
	}) {
		e.POST(strings.TrimSuffix(h.PathPrefix(), "/")+"/*", echo.WrapHandler(http.MaxBytesHandler(h, maxCallBytes)))
	}
	add(peer.NewDirectoryServer(r))
	add(peer.NewReplicationServer(r))
}

// Deliver passes raft messages from another registrar to the replica.
func (r *Registrar) Deliver(ctx context.Context, req *peer.DeliverRequest) (*peer.DeliverResponse, error) {
	log, _, err := r.supervisor.get()
	if err != nil {
		return nil, r.refuse("deliver", err)
	}
	res, err := log.Deliver(ctx, req)
	if err != nil {
		return nil, r.refuse("deliver", peer.FromTwirp(err))
	}
	return res, nil
}

// ReplaceCatalog is Replace for an uncompressed catalog.
func (r *Registrar) ReplaceCatalog(ctx context.Context, version uint64, data []byte) error {
	_, err := r.Replace(ctx, &peer.ReplaceRequest{Version: version, Catalog: peer.CompressCatalog(data)})
	return peer.FromTwirp(err)
}

// ReadCatalog is Read with the catalog decompressed.
func (r *Registrar) ReadCatalog(ctx context.Context) (version uint64, data []byte, err error) {
	res, err := r.Read(ctx, &peer.ReadRequest{})
	if err != nil {
		return 0, nil, peer.FromTwirp(err)
	}
	if res.Version == 0 {
		return 0, nil, nil
	}
	data, err = peer.DecompressCatalog(res.Catalog)
	return res.Version, data, err
}

// Replace makes a catalog the current one if its version is higher, and
// returns the version that is current afterwards.
func (r *Registrar) Replace(ctx context.Context, req *peer.ReplaceRequest) (*peer.ReplaceResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var res *peer.ReplaceResponse
	err := r.onLeader(ctx, req.Forwarded, func(log *replica.Replica, state *registry.Registry) error {
		if err := r.checkInitialVoters(log, state); err != nil {
			return err
		}
		result, err := log.Propose(ctx, registry.CatalogCommand(time.Now(), req.Version, req.Catalog))
		if err != nil {
			return err
		}
		res = &peer.ReplaceResponse{}
		res.Version, res.Adopted, err = registry.DecodeCatalogResult(result)
		return err
	}, func(leader peer.Directory) (err error) {
		res, err = leader.Replace(ctx, &peer.ReplaceRequest{Version: req.Version, Catalog: req.Catalog, Forwarded: true})
		return err
	})
	r.log.Info("catalog replace request", "version", req.Version, "bytes", len(req.Catalog), "forwarded", req.Forwarded,
		"stands", res.GetVersion(), "adopted", res.GetAdopted(), "error", err)
	if err != nil {
		return nil, r.refuse("replace", err)
	}
	return res, nil
}

// Read returns the newest catalog after a quorum has confirmed that there is
// no newer one.
func (r *Registrar) Read(ctx context.Context, req *peer.ReadRequest) (*peer.ReadResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var res *peer.ReadResponse
	err := r.onLeader(ctx, req.Forwarded, func(log *replica.Replica, state *registry.Registry) error {
		if _, err := log.ConfirmLeadership(ctx); err != nil {
			return err
		}
		c := state.Catalog()
		res = &peer.ReadResponse{Version: c.Version, Catalog: c.Data}
		return nil
	}, func(leader peer.Directory) (err error) {
		res, err = leader.Read(ctx, &peer.ReadRequest{Forwarded: true})
		return err
	})
	if err != nil {
		return nil, r.refuse("read", err)
	}
	return res, nil
}

// Join adds a registrar to the group as a learner. A registrar without an id
// asks whether there is a group; if there is none, it is recorded as a founder.
func (r *Registrar) Join(ctx context.Context, req *peer.JoinRequest) (*peer.JoinResponse, error) {
	if req.GetMember().GetAddress() == "" {
		return nil, r.refuse("join", fault.New(fault.BadRequest, "join needs an address"))
	}
	if founders := r.recordFounder(req.Member); founders != nil {
		return &peer.JoinResponse{Founders: founders}, nil
	}
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	var res *peer.JoinResponse
	err := r.onLeader(ctx, req.Forwarded, func(log *replica.Replica, _ *registry.Registry) error {
		for _, m := range log.Status().Members {
			if m.Id == req.Member.Id || req.Member.Id == 0 {
				res = &peer.JoinResponse{Members: log.Status().Members}
				return nil
			}
		}
		err := log.ChangeMember(ctx, &peer.ChangeMemberRequest{
			Action: peer.ChangeMemberRequest_ACTION_ADD_LEARNER,
			Member: &peer.Member{Id: req.Member.Id, Address: req.Member.Address, FailureDomain: req.Member.FailureDomain},
		})
		r.log.Info("join", "replica", req.Member.Id, "address", req.Member.Address, "error", err)
		res = &peer.JoinResponse{Members: log.Status().Members}
		return err
	}, func(leader peer.Directory) (err error) {
		res, err = leader.Join(ctx, &peer.JoinRequest{Member: req.Member, Forwarded: true})
		return err
	})
	if err != nil {
		return nil, r.refuse("join", err)
	}
	return res, nil
}

// onLeader runs local if this registrar is the leader, and otherwise remote with
// a client of the leader. A forwarded call is not forwarded again.
func (r *Registrar) onLeader(ctx context.Context, forwarded bool,
	local func(*replica.Replica, *registry.Registry) error, remote func(peer.Directory) error) error {
	log, state, err := r.supervisor.get()
	if err != nil && forwarded {
		return err
	}
	if err == nil && log.Status().IsLeader {
		return local(log, state)
	}
	leader := r.leaderAddress()
	switch {
	case forwarded:
		return fault.New(fault.NotLeader, "this registrar is not the leader")
	case leader == "" || leader == r.cfg.Address:
		return fault.New(fault.NoQuorum, "no leader is known")
	}
	return peer.FromTwirp(remote(r.directoryClient(leader)))
}

func (r *Registrar) refuse(call string, err error) error {
	f := fault.From(err)
	r.scope.Tagged(map[string]string{"call": call, "reason": f.Kind.String()}).Counter("refusals").Inc(1)
	return peer.ToTwirp(f)
}
