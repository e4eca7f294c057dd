package connadmission

// Options configure a Controller.
type Options struct {
	// MaxConns is the number of connections that may be kept.
	MaxConns int
	// MinIdle is how long an idle connection is kept if another one can be closed instead.
	MinIdle Millis
	// HeaderTimeout is the age from which on a new connection without a complete header is closed before others.
	HeaderTimeout Millis
	// CustomerShares are the relative shares of the customers; nil = no customers are known.
	CustomerShares []float64
	// MaxIdleOneShot is the number of idle connections from which on one with a single request is closed after its response;
	// 0 = none is.
	MaxIdleOneShot int
	// MaxActive is the number of open requests up to which a parked connection is served; 0 = no limit.
	MaxActive int
	// ParkDelay is how long an idle connection keeps its goroutine before it is parked.
	ParkDelay Millis
	// MaxIdleGoroutines is the number of idle connections that may keep their goroutines; near it ParkDelay shrinks. 0 = no limit.
	MaxIdleGoroutines int
}
