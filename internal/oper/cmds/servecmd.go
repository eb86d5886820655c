package cmds

import (
	"context"
	"crypto/tls"
	"net"
	"os"
	"os/signal"
	"syscall"

	"mangostile/internal/base/clock"
	"mangostile/internal/base/token"
	"mangostile/internal/base/units"
	"mangostile/internal/core/admit"
	"mangostile/internal/core/entry"
	"mangostile/internal/core/event"
	"mangostile/internal/core/place"
	"mangostile/internal/node/admin"
	"mangostile/internal/node/certs"
	"mangostile/internal/node/door"
	"mangostile/internal/node/edge"
	"mangostile/internal/node/meter"
	"mangostile/internal/node/server"
	"mangostile/internal/oper/config"
	"mangostile/internal/plat/system"

	"github.com/hashicorp/go-hclog"
	"github.com/pkg/errors"
	"github.com/urfave/cli/v3"
)

func newServeCmd() *cli.Command {
	return &cli.Command{
		Name:      "serve",
		Usage:     "run one entry VM",
		UsageText: examples("mangostile settings example > entry-1.toml", "mangostile serve --settings entry-1.toml"),
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "settings", Usage: "settings `FILE`", Required: true},
		},
		Action: func(ctx context.Context, cmd *cli.Command) error {
			settings, err := config.Read(cmd.String("settings"))
			if err != nil {
				return err
			}
			return runServe(ctx, settings)
		},
	}
}

func runServe(ctx context.Context, settings *config.Settings) error {
	logger := hclog.New(&hclog.LoggerOptions{Name: "mangostile", Level: hclog.LevelFromString(settings.Log.Level), Output: os.Stderr})
	listeners, err := listen(&settings.EntryVM)
	if err != nil {
		return err
	}
	s, err := newServer(settings, listeners, logger)
	if err != nil {
		return err
	}
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	go func() {
		for range signals {
			s.Leave()
		}
	}()
	limitMemory(settings.Limits.MemoryMB)
	logger.Info("entry_vm_started", "entry_vm", settings.EntryVM.ID, "serve_address", settings.EntryVM.ServeAddress)
	return s.Run(ctx)
}

// entryListeners holds the listeners of one entry VM.
type entryListeners struct{ serve, peer, admin net.Listener }

// listen opens the listeners of an entry VM, all or none.
func listen(own *config.EntryVM) (entryListeners, error) {
	var opened [3]net.Listener
	for i, address := range []string{own.ServeAddress, own.PeerAddress, own.AdminAddress} {
		listener, err := net.Listen("tcp", address)
		if err != nil {
			for _, other := range opened[:i] {
				_ = other.Close()
			}
			return entryListeners{}, errors.Wrapf(err, "entry VM %s: choose free addresses", own.ID)
		}
		opened[i] = listener
	}
	return entryListeners{serve: opened[0], peer: opened[1], admin: opened[2]}, nil
}

// newServer returns the entry VM that settings describe. It takes ownership of
// listeners, which stay open if it fails.
func newServer(settings *config.Settings, listeners entryListeners, logger hclog.Logger) (*server.Server, error) {
	serveTLS, err := tlsConfig(settings.TLS.ServeCertificateFile, settings.TLS.ServeKeyFile, logger)
	if err != nil {
		return nil, err
	}
	adminTLS, err := tlsConfig(settings.TLS.AdminCertificateFile, settings.TLS.AdminKeyFile, logger)
	if err != nil {
		return nil, err
	}
	peerTLS, err := mutualTLS(&settings.TLS, logger)
	if err != nil {
		return nil, err
	}
	return server.New(server.Options{
		Core:          coreConfig(settings),
		Edge:          edgeOptions(settings),
		Logger:        logger,
		Meter:         meter.New(),
		System:        system.NewRealSystem(settings.Platform.LogAddress, settings.Platform.VMListAddress),
		ServeListener: listeners.serve,
		PeerListener:  listeners.peer,
		AdminListener: listeners.admin,
		ServeTLS:      serveTLS,
		AdminTLS:      adminTLS,
		PeerTLS:       peerTLS,
		HTTP: server.HTTPLimits{
			MaxBody: settings.Limits.MaxBodyBytes, MaxHeader: settings.Limits.MaxHeaderBytes,
			ReadTimeout: settings.Limits.ReadTimeoutMS.Duration(), WriteTimeout: settings.Limits.WriteTimeoutMS.Duration(),
			Callers: door.Limits{Conns: settings.Limits.MaxConnections, Patience: settings.Limits.PatienceMS},
		},
		MemoryMB: settings.Limits.MemoryMB,
		Admin:    admin.New(admin.Options{Operators: operatorTokens(settings)}),
	}), nil
}

// tlsConfig returns nil if no certificate is configured.
func tlsConfig(certificateFile, keyFile string, logger hclog.Logger) (*tls.Config, error) {
	if certificateFile == "" {
		return nil, nil
	}
	reloader, err := certs.New(certificateFile, keyFile, logger)
	if err != nil {
		return nil, err
	}
	return reloader.Config(), nil
}

// mutualTLS returns nil if no certificate for peer connections is configured.
func mutualTLS(settings *config.TLS, logger hclog.Logger) (*certs.Mutual, error) {
	if settings.PeerCertificateFile == "" {
		return nil, nil
	}
	return certs.NewMutual(settings.PeerCertificateFile, settings.PeerKeyFile, settings.PeerAuthorityFile, logger)
}

func coreConfig(settings *config.Settings) entry.Config {
	own := &settings.EntryVM
	cfg := entry.Config{
		Self: event.VM{
			ID: string(own.ID), Address: own.PeerAddress, ServeAddress: own.ServeAddress, FailureDomain: own.FailureDomain,
			Region: own.Region, State: event.VMLive, Entry: true,
		},
		Incarnation: units.Incarnation(clock.WallNow()),
		VMs:         settings.VMs,
		HasVMList:   settings.Platform.VMListAddress != "",
		Policy: place.Policy{
			Objective: settings.Policy.Objective, LoadsPerSecond: settings.Policy.LoadsPerSecond,
			LoadsInFlight: settings.Policy.LoadsInFlight, Shares: settings.Policy.FailureDomains,
			LinkBytesPerSecond: settings.Policy.LinkBytesPerSecond,
		},
		Callers:  map[units.Caller]admit.Limits{},
		Services: map[units.ServiceName]entry.Service{},
	}
	if settings.TLS.ServeCertificateFile != "" {
		// With TLS, no request is forwarded to other failure domains: the caller's
		// token must not leave the VM unencrypted, and the entry VM there is known by
		// its IP address only, against which its certificate can't be verified.
		cfg.Policy.LinkBytesPerSecond = -1
	}
	for _, caller := range settings.Callers {
		cfg.Callers[units.Caller(caller.Name)] = admit.Limits{
			RequestsPerSecond: caller.RequestsPerSecond, TokensPerSecond: caller.TokensPerSecond, Concurrency: caller.Concurrency,
		}
	}
	for _, s := range settings.Services {
		cfg.Services[s.Name] = entry.Service{Deadline: s.DeadlineMS}
	}
	return cfg
}

func edgeOptions(settings *config.Settings) edge.Options {
	options := edge.Options{NotRepeatable: map[units.ServiceName][]string{}, WriteTimeout: settings.Limits.WriteTimeoutMS.Duration()}
	for _, caller := range settings.Callers {
		// Add can't fail: config accepts only valid digests.
		_ = options.Callers.Add(caller.TokenSHA256, caller.Name)
	}
	for _, s := range settings.Services {
		options.NotRepeatable[s.Name] = s.NotRepeatable
	}
	return options
}

func operatorTokens(settings *config.Settings) token.Set {
	var operators token.Set
	for _, operator := range settings.Operators {
		// Add can't fail: config accepts only valid digests.
		_ = operators.Add(operator.TokenSHA256, operator.Name)
	}
	return operators
}
