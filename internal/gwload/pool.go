package gwload

import (
	"context"
	"time"

	"github.com/jackc/pgx/v5"

	"gentianward.example/gentianward/internal/gwdeploy"
)

// connectTimeout bounds opening a connection.
const connectTimeout = 2 * time.Second

// poolKey identifies the pool of a caller's connections to a group at an instance.
type poolKey struct {
	instance      int
	caller, group string
}

// pool is a connection pool. The semaphore sem bounds the connections in use.
type pool struct {
	d    *gwdeploy.Deployment
	key  poolKey
	sem  chan struct{}
	idle chan *pgx.Conn
}

func newPool(d *gwdeploy.Deployment, key poolKey, size int) *pool {
	return &pool{d: d, key: key, sem: make(chan struct{}, size), idle: make(chan *pgx.Conn, size)}
}

// acquire returns an idle connection or opens one. While all connections are in use it
// waits, at most until the context ends.
func (p *pool) acquire(ctx context.Context) (*pgx.Conn, error) {
	select {
	case p.sem <- struct{}{}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	for {
		select {
		case c := <-p.idle:
			if !c.IsClosed() {
				return c, nil
			}
			continue
		default:
		}
		break
	}
	c, err := p.open(ctx)
	if err != nil {
		<-p.sem
	}
	return c, err
}

func (p *pool) open(ctx context.Context) (*pgx.Conn, error) {
	n := p.d.Instances()[p.key.instance]
	url := p.d.URL(n, p.key.caller, p.key.group)
	if url == "" {
		return nil, &Error{Op: "connect", Kind: BadOption, Detail: "instance " + n.Settings.Instance + " is not running"}
	}
	config, err := pgx.ParseConfig(url)
	if err != nil {
		return nil, err
	}
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	return pgx.ConnectConfig(ctx, config)
}

// release returns a connection to the pool, or closes it if it is not usable.
func (p *pool) release(c *pgx.Conn, usable bool) {
	if usable && !c.IsClosed() {
		p.idle <- c
	} else {
		closeConn(c)
	}
	<-p.sem
}

// close closes the idle connections.
func (p *pool) close() {
	for {
		select {
		case c := <-p.idle:
			closeConn(c)
		default:
			return
		}
	}
}

func closeConn(c *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_ = c.Close(ctx)
}
