package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/integrii/flaggy"

	"gentianstep.example/gentianstep/internal/bundle/checker"
	"gentianstep.example/gentianstep/internal/operating/configurer"
	"gentianstep.example/gentianstep/internal/standin/hoster"
	"gentianstep.example/gentianstep/internal/standin/loader"
)

const (
	fileMode = 0o644
	planFile = "plan.json"
)

func newPlanCommand() command {
	dir, name, key, policies := ".", "vloerkuns", "", strings.Join(checker.SelectionNames, ",")
	vms, basePort := 9, 22000
	parser := flaggy.NewSubcommand("plan")
	parser.Description = "Write the settings, bundles and engines of a deployment on loopback."
	parser.String(&dir, "d", "dir", "Folder to write to.")
	parser.String(&name, "w", "workload", "Workload: vloerkuns or cyngor.")
	parser.String(&key, "k", "public-key", "Public key of the bundle signer, as JSON.")
	parser.String(&policies, "p", "policies", "Selection policies, one bundle version each; NAME=N sets the recompute price.")
	parser.Int(&vms, "n", "vms", "Number of VMs.")
	parser.Int(&basePort, "b", "base-port", "First port.")
	return command{parser: parser, run: func(context.Context) error {
		w, err := loader.Find(name)
		if err != nil {
			return err
		}
		var trusted configurer.BundleKey
		if err := json.Unmarshal([]byte(key), &trusted); err != nil {
			return fmt.Errorf("parse --public-key: %w", err)
		}
		plan := hoster.NewPlan(w, vms, basePort)
		return writePlan(dir, plan, w, trusted, strings.Split(policies, ","))
	}}
}

// writePlan writes the plan, the settings of each VM and one bundle for each
// selection policy to dir.
func writePlan(dir string, plan hoster.Plan, w loader.Workload, key configurer.BundleKey, policies []string) error {
	if err := writeJSON(filepath.Join(dir, planFile), plan); err != nil {
		return err
	}
	for _, vm := range plan.VMs {
		if err := writeJSON(filepath.Join(dir, vm.Name+".json"), plan.Settings(vm, key)); err != nil {
			return err
		}
	}
	for i, policy := range policies {
		selection, err := hoster.ParseSelectionPolicy(w, policy)
		if err != nil {
			return err
		}
		b := plan.Bundle(w, uint64(i+1), selection)
		if err := b.Check(); err != nil {
			return err
		}
		if err := writeJSON(filepath.Join(dir, fmt.Sprintf("bundle-%d.json", i+1)), b); err != nil {
			return err
		}
	}
	return nil
}

func writeJSON(path string, v any) error {
	data, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return fmt.Errorf("encode %s: %w", path, err)
	}
	if err := os.WriteFile(path, data, fileMode); err != nil {
		return fmt.Errorf("write %s: %w", path, err)
	}
	return nil
}

func newFleetCommand() command {
	path := planFile
	parser := flaggy.NewSubcommand("fleet")
	parser.Description = "Serve all engines of a plan in one process."
	parser.String(&path, "p", "plan", "Path of the plan.")
	return command{parser: parser, run: func(ctx context.Context) error {
		plan, err := hoster.ReadPlan(path)
		if err != nil {
			return err
		}
		w, err := loader.Find(plan.Workload)
		if err != nil {
			return err
		}
		host := hoster.NewHost(plan, w.Model)
		if err := host.Start(ctx); err != nil {
			return err
		}
		return ignoreCancelled(serve(ctx, plan.Hoster.String(), host.Handler(ctx)))
	}}
}

func ignoreCancelled(err error) error {
	if errors.Is(err, context.Canceled) {
		return nil
	}
	return err
}
