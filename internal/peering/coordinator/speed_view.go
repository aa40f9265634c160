package coordinator

import "time"

// speedsTTL is how long the speeds of engines are used after the last message from a hub
// that states them. It outlasts a change of the hub, which learns them again from some ten
// prompts at each engine.
const speedsTTL = 10 * time.Second

// speed is the factor of an engine. It ends at keepUntil if that is set: the hub has changed
// and has not stated the factor yet.
type speed struct {
	factor    float64
	keepUntil time.Time
}

// applySpeeds applies a message of the hub. The caller must hold v.mu.
func (v *View) applySpeeds(now time.Time, s State) {
	if s.Full {
		v.keepSpeeds(now)
	}
	for _, u := range s.Speeds {
		v.speeds[v.names[u.Upstream]] = speed{factor: float64(u.Percent) / 100}
		if u.Percent == 100 {
			delete(v.speeds, v.names[u.Upstream])
		}
	}
}

// keepSpeeds keeps the factors that a full state may lack since the hub is new.
func (v *View) keepSpeeds(now time.Time) {
	for upstream, s := range v.speeds {
		if s.keepUntil.IsZero() {
			s.keepUntil = now.Add(speedsTTL)
			v.speeds[upstream] = s
		}
		if now.After(s.keepUntil) {
			delete(v.speeds, upstream)
		}
	}
}

// Speed returns the speed of an engine relative to the mean of its service, 1 if the hub has
// stated none. It returns false if there has been no hub for some seconds.
func (v *View) Speed(now time.Time, upstream string) (factor float64, known bool) {
	v.mu.RLock()
	defer v.mu.RUnlock()
	if v.receivedAt.IsZero() || now.After(v.receivedAt.Add(speedsTTL)) {
		return 1, false
	}
	s, ok := v.speeds[upstream]
	if !ok || !s.keepUntil.IsZero() && now.After(s.keepUntil) {
		return 1, true
	}
	return s.factor, true
}
