package connadmission

// Options configures a Controller.
type Options struct {
	// MaxConns is the maximum number of open connections.
	MaxConns int
	// MinIdle is how long a connection must have been idle before it is preferred for eviction.
	MinIdle Millis
	// HeaderTimeout is the age at which a new connection without a complete request header is evicted before newer ones and
	// before connections that have been idle for less than MinIdle.
	HeaderTimeout Millis
	// CustomerShares are the relative shares of connections by customer; nil = no customers are known.
	CustomerShares []float64
	// OneShotCloseThreshold is the number of idle connections at which a connection with a single request is closed after its
	// response; 0 = never.
	OneShotCloseThreshold int
	// MaxActive is the number of open requests at which parked connections are no longer served; 0 = no limit.
	MaxActive int
	// ParkDelay is how long an idle connection keeps its goroutine before it is parked.
	ParkDelay Millis
	// MaxIdleGoroutines is the intended maximum number of idle connections with a goroutine. ParkDelay shrinks from half of
	// that number on, and Decide parks new connections from an eighth of it on. 0 = no limit.
	MaxIdleGoroutines int
}
