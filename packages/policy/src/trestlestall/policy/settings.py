"""The policy's settings; the design notes give the reasons for the defaults."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class Settings:
    """Bounds and rates of the policy. Times are in seconds, shares are in 0..1.

    ``tools/compare_policies.py`` runs the policy under load; ``docs/design/tiers.md``
    and ``docs/design/choice.md`` quote its results.
    """

    # Prefix of attempt names, so that no two routers use the same one.
    router: str = "router"
    claim_timeout: float = 1.0
    queue_limit: int = 5000
    # How long requests stay queued after the last upstream of their target was removed.
    # A change of the view, or the replacement of one upstream by another, takes less.
    unserved_grace: float = 1.0

    # Speeds assumed until some have been observed.
    default_first_token: float = 0.2
    default_token_gap: float = 0.02

    # Admission: the probability of meeting its target that a request needs to be
    # admitted, and the one below which a queued request is failed, both as shares of
    # the probability without load. Below ``min_probability`` without load, a target is
    # unreachable.
    admission_probability: float = 0.9
    waiting_probability: float = 0.5
    min_probability: float = 0.02
    safety_factor: float = 1.1
    # The share of the longest acceptable wait that admission plans with. The rest is
    # for more urgent requests that arrive meanwhile.
    planned_wait_share: float = 0.4
    min_retry_delay: float = 0.5
    max_retry_delay: float = 60.0

    # Floors: the share of slots reserved for them in the estimates, the tokens of
    # credit that a class can save up, and the longest time that a waiting class goes
    # unserved.
    floor_reserve: float = 0.1
    floor_credit: float = 256.0
    floor_window: float = 30.0
    # How long in-order work is kept off an upstream that is reserved for floor work.
    floor_reservation: float = 2.0

    # Choice of upstream: the number of upstreams sampled, how old a report may be when
    # it is received, by how much load per slot affinity may exceed the least, the
    # number of prefixes remembered, the share of slots kept free for more urgent work,
    # and the backoff after a refused connection or request.
    samples: int = 2
    report_lag: float = 0.5
    affinity_slack: float = 0.25
    affinity_limit: int = 20_000
    headroom: float = 0.1
    refusal_backoff: float = 1.0

    # Stragglers: the ratio to the median of their peers, and when to probe them again.
    straggler_ratio: float = 3.0
    straggler_min_samples: int = 3
    stall_time: float = 1.0
    probe_interval: float = 1.0
    max_probe_interval: float = 30.0

    # Retries and hedges: attempts per request, and a token bucket filled by first
    # sends.
    attempt_limit: int = 4
    budget_ratio: float = 0.1
    budget_capacity: float = 20.0
    hedge_wait: float = 0.3

    # Pressure: a tier is under pressure once its work has waited for the grace time,
    # and for the hold time after that. It is reported again at the interval.
    pressure_grace: float = 0.1
    pressure_hold: float = 1.0
    pressure_report_interval: float = 0.5
    # How long work may run on that peers sent before they were under pressure.
    peer_drain_time: float = 10.0


DEFAULT = Settings()
