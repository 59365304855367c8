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

// operator gives the operator commands access to the platform and, if credentials
// and peers are set, to the balancers and agents.
type operator struct {
	// flagSets are the flags of each command and subcommand.
	flagSets    []*flagSet
	platform    platformFlags
	credentials credentialFiles
	// peers are the control addresses of some balancers.
	peers []netip.AddrPort

	clientOnce sync.Once
	client     *control.Client
	clientErr  error
}

// operatorCommands returns the settings and explain commands. Their flags may also
// be set by environment variables and by the file named by -config.
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

// addFlags adds the flags for reaching the platform, balancers and agents.
func (o *operator) addFlags(flags *flag.FlagSet, stderr io.Writer) {
	flags.SetOutput(stderr)
	s := &flagSet{FlagSet: flags}
	s.StringVar(&s.file, "config", "", "JSON file that sets flags by their names in snake case")
	s.addresses(&o.peers, "peers", "IP:PORT of the control of a few balancers, separated by commas")
	o.platform.add(s)
	o.credentials.add(s)
	o.flagSets = append(o.flagSets, s)
}

// setOptions makes command and its subcommands read flags from the environment and
// the file named by -config.
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

// store returns a client of the platform. It must be called after the flags are
// parsed, and returns a usageError with all findings about them.
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

// controlClient returns the client for calls to balancers and agents, which it
// creates on first use.
func (o *operator) controlClient() (*control.Client, error) {
	o.clientOnce.Do(func() { o.client, o.clientErr = o.newControlClient() })
	return o.client, o.clientErr
}

func (o *operator) newControlClient() (*control.Client, error) {
	if len(o.peers) == 0 {
		return nil, trace.BadParameter("balancers cannot be asked: -peers is not set")
	}
	config, err := o.credentials.mutualTLS()
	if err != nil {
		return nil, trace.Wrap(err, "balancers cannot be asked")
	}
	return control.NewClient(config), nil
}

// callAnyPeer calls the balancers in peers one after another until one answers. If
// none does, it returns all their errors.
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

// members lists the balancers that are not gone, with the settings revision in force
// at each.
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

// status queries an agent for its share and flow counts of the service at path.
func (o *operator) status(ctx context.Context, run limit.Run, path settings.Path) (leaseholder.Status, error) {
	address, err := o.agentControl(ctx, run)
	if err != nil {
		return leaseholder.Status{}, err
	}
	var reply leaseholder.Status
	err = o.client.Call(ctx, address, "Limits.Status", &leaseholder.StatusRequest{Path: path}, &reply)
	return reply, trace.Wrap(err, "ask agent %s", run.Address)
}

// agentControl looks up the control address of an agent at a balancer.
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
