package registry

import (
	"slices"
	"time"

	"oleanderrack.example/oleanderrack/pkg/fault"
)

// Catalog is the newest catalog of routes, services and client accounts. The
// registry does not decode it: the registrar checks it before it proposes it.
type Catalog struct {
	// Version is chosen by the operators; 0 if there is no catalog yet.
	Version uint64
	// Data is compressed and must not be modified.
	Data []byte
}

// DrainedDomains lists the failure domains that operators have drained.
type DrainedDomains struct {
	// Index is the log index of the last change.
	Index uint64
	// FailureDomains is sorted and must not be modified.
	FailureDomains []string
}

// CatalogCommand encodes the replacement of the catalog.
func CatalogCommand(now time.Time, version uint64, data []byte) []byte {
	return encodeCommand(now, &Command{Command: &Command_ReplaceCatalog{ReplaceCatalog: &ReplaceCatalog{Version: version, Data: data}}})
}

// DrainCommand encodes the drain or the return of a failure domain.
func DrainCommand(now time.Time, failureDomain string, drained bool) []byte {
	return encodeCommand(now, &Command{Command: &Command_DrainDomain{DrainDomain: &DrainDomain{FailureDomain: failureDomain, Drained: drained}}})
}

// DecodeCatalogResult decodes the result of a CatalogCommand: the version in
// force, and whether the command replaced the catalog.
func DecodeCatalogResult(result []byte) (version uint64, adopted bool, err error) {
	res, err := decodeResult(result)
	return res.GetCatalog().GetVersion(), res.GetCatalog().GetAdopted(), err
}

// DecodeDrainResult returns the error in the result of a DrainCommand, if any.
func DecodeDrainResult(result []byte) error {
	_, err := decodeResult(result)
	return err
}

// Catalog returns the newest catalog.
func (r *Registry) Catalog() Catalog {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.catalog
}

// Drained returns the drained failure domains.
func (r *Registry) Drained() DrainedDomains {
	r.mu.RLock()
	defer r.mu.RUnlock()
	return r.drained
}

// DrainState returns whether a failure domain is drained, and the log index of the
// last change of that. The index is not part of snapshots: after a restore, any
// domain may have changed as late as the latest one.
func (r *Registry) DrainState(failureDomain string) (drained bool, index uint64) {
	r.mu.RLock()
	defer r.mu.RUnlock()
	_, drained = slices.BinarySearch(r.drained.FailureDomains, failureDomain)
	index, ok := r.drainChanges[failureDomain]
	if !ok {
		index = r.restoredDrainIndex
	}
	return drained, index
}

func (r *Registry) replaceCatalog(c *ReplaceCatalog) *Result {
	adopted := c.Version > r.catalog.Version
	if adopted {
		r.catalog = Catalog{Version: c.Version, Data: c.Data}
	}
	return &Result{Result: &Result_Catalog{Catalog: &CatalogResult{Version: r.catalog.Version, Adopted: adopted}}}
}

func (r *Registry) drain(index uint64, c *DrainDomain) *Result {
	if c.FailureDomain == "" {
		return failedResult(fault.New(fault.BadRequest, "drain command without a failure domain"))
	}
	at, listed := slices.BinarySearch(r.drained.FailureDomains, c.FailureDomain)
	if listed != c.Drained {
		// Readers may still hold the old slice, so it is not modified.
		next := slices.Clone(r.drained.FailureDomains)
		if c.Drained {
			next = slices.Insert(next, at, c.FailureDomain)
		} else {
			next = slices.Delete(next, at, at+1)
		}
		r.drained = DrainedDomains{Index: index, FailureDomains: next}
		r.drainChanges[c.FailureDomain] = index
	}
	return &Result{Result: &Result_Drain{Drain: &DrainResult{Index: r.drained.Index}}}
}
