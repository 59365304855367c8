package main

import (
	"context"
	"flag"
	"io"
	"net/netip"
	"sync"

	"github.com/gravitational/trace"
	"github.com/peterbourgon/ff/v3/ffcli"

	"dandelionhitch.example/control"
	"dandelionhitch.example/keeper"
	"dandelionhitch.example/leaseholder"
	"dandelionhitch.example/limit"
	"dandelionhitch.example/platform"
	"dandelionhitch.example/settings"
)

// operator is what an operator's command knows of its surroundings: how to
// reach the platform, and the balancers and agents if their credentials are set.
type operator struct {
	flagSets        []*flagSet
	platform    platformFlags
	credentials credentialFiles
	peers       []netip.AddrPort

	clientOnce   sync.Once
	client    *control.Client
	clientErr error
}

// operatorCommands returns the commands that operators use. Their flags may
// also come from the environment and from the file named by -config.
func operatorCommands(stdin io.Reader, stdout, stderr io.Writer) []*ffcli.Command {
	o := &operator{}
	addFlags := func(flags *flag.FlagSet) { o.addFlags(flags, stderr) }
	commands := []*ffcli.Command{
		settingsCommand(settingsEnvironment{
			stdout: stdout, stdin: stdin, store: o.store, members: o.members, flags: addFlags,
		}),
		explainCommand(explainEnvironment{
			stdout: stdout, stdin: stdin, store: o.store, status: o.status, flags: addFlags,
		}),
	}
	for _, command := range commands {
		o.setOptions(command)
	}
	return commands
}

func (o *operator) addFlags(flags *flag.FlagSet, stderr io.Writer) {
	flags.SetOutput(stderr)
	s := &flagSet{FlagSet: flags}
	s.StringVar(&s.file, "config", "", "JSON file that sets flags by their names in snake case")
	s.addresses(&o.peers, "peers", "IP:PORT of the control of a few balancers, separated by commas")
	o.platform.add(s)
	o.credentials.add(s)
	o.flagSets = append(o.flagSets, s)
}

// setOptions makes a command and those below it read the environment and the file.
func (o *operator) setOptions(command *ffcli.Command) {
	for _, s := range o.flagSets {
		if s.FlagSet == command.FlagSet {
			command.Options = s.options()
		}
	}
	for _, sub := range command.Subcommands {
		o.setOptions(sub)
	}
}

// store opens the platform once the flags are parsed. All findings about the
// flags are reported by it.
func (o *operator) store() (platform.Store, error) {
	var findings []finding
	for _, s := range o.flagSets {
		findings = append(findings, s.findings...)
	}
	if o.platform.url == "" {
		findings = append(findings, finding{place: "-platform", err: trace.BadParameter("not set")})
	}
	if len(findings) > 0 {
		return nil, &usageError{findings: findings}
	}
	return o.platform.client()
}

// caller returns the client of calls to balancers and agents.
func (o *operator) controlClient() (*control.Client, error) {
	o.clientOnce.Do(func() { o.client, o.clientErr = o.newControlClient() })
	return o.client, o.clientErr
}

func (o *operator) newControlClient() (*control.Client, error) {
	if len(o.peers) == 0 {
		return nil, trace.BadParameter("balancers cannot be asked: -peers is not set")
	}
	config, err := o.credentials.mutual()
	if err != nil {
		return nil, trace.Wrap(err, "balancers cannot be asked")
	}
	return control.NewClient(config), nil
}

// ask calls the first of the peers that answers.
func (o *operator) callAnyPeer(ctx context.Context, method string, request, reply any) error {
	client, err := o.controlClient()
	if err != nil {
		return err
	}
	var failures []error
	for _, peer := range o.peers {
		if err = client.Call(ctx, peer, method, request, reply); err == nil {
			return nil
		}
		failures = append(failures, err)
	}
	return trace.NewAggregate(failures...)
}

// members lists the balancers that are not gone, with the revision that each
// has in force.
func (o *operator) members(ctx context.Context) ([]memberRevision, error) {
	var reply keeper.MembersReply
	if err := o.callAnyPeer(ctx, keeper.MethodMembers, &keeper.MembersRequest{}, &reply); err != nil {
		return nil, trace.Wrap(err, "list the balancers")
	}
	var out []memberRevision
	for _, m := range reply.Members {
		if !m.Gone {
			out = append(out, memberRevision{Member: m.Name, Revision: m.Revision})
		}
	}
	return out, nil
}

// status asks one agent for its view of its share.
func (o *operator) status(ctx context.Context, run limit.Run, path settings.Path) (leaseholder.Status, error) {
	address, err := o.agentControl(ctx, run)
	if err != nil {
		return leaseholder.Status{}, err
	}
	var reply leaseholder.Status
	err = o.client.Call(ctx, address, "Limits.Status", &leaseholder.StatusRequest{Path: path}, &reply)
	return reply, trace.Wrap(err, "ask agent %s", run.Address)
}

// agentControl finds where an agent answers calls.
func (o *operator) agentControl(ctx context.Context, run limit.Run) (netip.AddrPort, error) {
	var reply keeper.RecordsReply
	if err := o.callAnyPeer(ctx, keeper.MethodRecords, &keeper.RecordsRequest{}, &reply); err != nil {
		return netip.AddrPort{}, trace.Wrap(err, "list the upstreams")
	}
	for _, upstream := range reply.Upstreams {
		if upstream.Data == run.Address {
			return upstream.Control, nil
		}
	}
	return netip.AddrPort{}, trace.NotFound("no balancer knows the agent %s", run.Address)
}
