package operator

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"time"

	"github.com/cockroachdb/errors"

	"oleanderrack.example/oleanderrack/internal/protocol/peer"
	"oleanderrack.example/oleanderrack/pkg/fault"
)

// savedPlan is the content of a plan file. The operation id is generated when the
// plan is created, so that each run of confirm resends the same operation.
type savedPlan struct {
	PlanID       string       `json:"plan_id"`
	BaseRevision uint64       `json:"base_revision"`
	OperationID  string       `json:"operation_id"`
	Changes      []planChange `json:"changes"`
	Intent       string       `json:"intent"`
}

var planIDPattern = regexp.MustCompile(`^[0-9a-f]{32}$`)

const (
	planFileMode   = 0o600
	planFolderMode = 0o700
	// pollInterval is the time between two reads of the status with -wait.
	pollInterval = 200 * time.Millisecond
)

func (c *command) plan(ctx context.Context, names []string) error {
	if err := requireNames(names, 0, "plan takes an intent file with -f"); err != nil {
		return err
	}
	if c.options.intentFile == "" {
		return errors.Wrap(errUsage, "plan needs -f with an intent file")
	}
	data, err := os.ReadFile(c.options.intentFile)
	if err != nil {
		return fault.Wrap(err, fault.BadRequest, "%s cannot be read", c.options.intentFile)
	}
	_, _, err = c.createPlan(ctx, &peer.PlanRequest{Intent: data})
	return err
}

// createPlan requests a plan, saves it and shows it.
func (c *command) createPlan(ctx context.Context, req *peer.PlanRequest) (savedPlan, string, error) {
	res, err := c.api.Plan(ctx, req)
	if err != nil {
		return savedPlan{}, "", err
	}
	id := make([]byte, 16)
	if _, err := rand.Read(id); err != nil {
		return savedPlan{}, "", errors.Wrap(err, "operator: generate operation id")
	}
	plan := savedPlan{
		PlanID: res.PlanId, BaseRevision: res.BaseRevision, OperationID: hex.EncodeToString(id),
		Changes: planChanges(res.Changes), Intent: string(res.Intent),
	}
	path, err := c.savePlan(plan)
	if err != nil {
		return plan, "", err
	}
	return plan, path, c.showPlan(plan, path)
}

func (c *command) confirm(ctx context.Context, names []string) error {
	if err := requireNames(names, 1, "confirm takes a plan id or a plan file"); err != nil {
		return err
	}
	plan, err := c.loadPlan(names[0])
	if err != nil {
		return err
	}
	return c.confirmPlan(ctx, plan)
}

// confirmPlan confirms a plan and, with -wait, waits until it is in force.
func (c *command) confirmPlan(ctx context.Context, plan savedPlan) error {
	operator := c.options.operator
	if operator == "" {
		operator = "unnamed"
	}
	start := time.Now()
	res, err := c.api.Confirm(ctx, &peer.ConfirmRequest{
		PlanId: plan.PlanID, BaseRevision: plan.BaseRevision, Intent: []byte(plan.Intent),
		OperationId: plan.OperationID, OperatorName: operator,
	})
	if err != nil {
		return err
	}
	out := confirmation{Revision: res.Revision, RepeatedAnswer: res.RepeatedAnswer}
	if !c.options.wait {
		return c.showConfirmation(out)
	}
	if out.InForce, err = c.waitInForce(ctx, res.Revision); err != nil {
		return err
	}
	out.InForceAfterMS = time.Since(start).Milliseconds()
	if err := c.showConfirmation(out); err != nil {
		return err
	}
	if !out.InForce {
		return errors.Wrapf(errNotInForce, "revision %d", res.Revision)
	}
	return nil
}

// waitInForce reports whether a revision came into force before ctx ended.
func (c *command) waitInForce(ctx context.Context, revision uint64) (bool, error) {
	for {
		res, err := c.api.Status(ctx, &peer.StatusRequest{})
		if err == nil && res.Revision >= revision && res.InForce {
			return true, nil
		}
		if err != nil && fault.Is(err, fault.Unauthenticated) {
			return false, err
		}
		select {
		case <-ctx.Done():
			return false, nil
		case <-time.After(pollInterval):
		}
	}
}

// savePlan writes a plan to a temporary file and renames it, so that a full disk
// leaves no partial plan file.
func (c *command) savePlan(plan savedPlan) (string, error) {
	path := c.options.planFile
	if path == "" {
		folder, err := c.planFolder()
		if err != nil {
			return "", err
		}
		if err := os.MkdirAll(folder, planFolderMode); err != nil {
			return "", fault.Wrap(err, fault.BadSettings, "folder %s cannot be created; give a file with -out", folder)
		}
		path = filepath.Join(folder, plan.PlanID+".json")
	}
	if existing, err := readPlan(path); err == nil && existing.PlanID == plan.PlanID {
		// The same plan was saved before, and its operation id may have been
		// sent.
		return path, nil
	}
	data, err := json.MarshalIndent(plan, "", "  ")
	if err != nil {
		return "", errors.Wrap(err, "operator: encode plan")
	}
	temporary := path + ".new"
	if err := os.WriteFile(temporary, data, planFileMode); err != nil {
		return "", fault.Wrap(err, fault.BadSettings, "plan file %s cannot be written", path)
	}
	return path, errors.Wrap(os.Rename(temporary, path), "operator: rename plan file")
}

// loadPlan reads a plan by id or file name.
func (c *command) loadPlan(name string) (savedPlan, error) {
	if !planIDPattern.MatchString(name) {
		return readPlan(name)
	}
	folder, err := c.planFolder()
	if err != nil {
		return savedPlan{}, err
	}
	return readPlan(filepath.Join(folder, name+".json"))
}

func readPlan(path string) (savedPlan, error) {
	var plan savedPlan
	data, err := os.ReadFile(path)
	if err != nil {
		return plan, fault.Wrap(err, fault.NotFound, "plan file %s cannot be read", path)
	}
	if err := json.Unmarshal(data, &plan); err != nil {
		return plan, fault.Wrap(err, fault.BadRequest, "plan file %s is damaged", path)
	}
	if !planIDPattern.MatchString(plan.PlanID) || plan.OperationID == "" {
		return plan, fault.New(fault.BadRequest, "%s is not a plan file", path)
	}
	return plan, nil
}

func (c *command) planFolder() (string, error) {
	if c.options.planFolder != "" {
		return c.options.planFolder, nil
	}
	cache, err := os.UserCacheDir()
	if err != nil {
		return "", fault.Wrap(err, fault.BadSettings, "the user's cache folder cannot be determined; give a folder with -plans")
	}
	return filepath.Join(cache, "oleanderrack", "plans"), nil
}

func (c *command) showPlan(plan savedPlan, path string) error {
	if c.options.json {
		return writeJSON(c.stdout, struct {
			savedPlan
			File string `json:"file"`
		}{plan, path})
	}
	if len(plan.Changes) == 0 {
		fmt.Fprintf(c.stdout, "Nothing changes from revision %d.\n", plan.BaseRevision)
	} else {
		writeChanges(c.stdout, plan.Changes)
	}
	_, err := fmt.Fprintf(c.stdout, "\nplan %s\nbase revision %d\nsaved in %s\n", plan.PlanID, plan.BaseRevision, path)
	return err
}

func (c *command) showConfirmation(out confirmation) error {
	if c.options.json {
		return writeJSON(c.stdout, out)
	}
	fmt.Fprintf(c.stdout, "revision %d\n", out.Revision)
	if out.RepeatedAnswer {
		fmt.Fprintln(c.stdout, "this operation was carried out before")
	}
	if out.InForce {
		fmt.Fprintf(c.stdout, "in force after %d ms\n", out.InForceAfterMS)
	}
	return nil
}
