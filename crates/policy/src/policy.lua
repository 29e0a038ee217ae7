-- Scheduling policy of the operators; these values are the embedded default.
return {
  -- Time for which an empty on-demand machine is kept for further work, as a multiple
  -- of the time that a new one takes to boot and fetch an image.
  idle = 0.75,
  -- The same for a spot machine, which costs less to keep.
  idle_spot = 1.5,
  -- Seconds without a heartbeat after which a spot machine is released: that proves that
  -- its attempts have ended, so their tasks can be rescheduled. An on-demand machine is
  -- released after its lease plus twice this time.
  silent_s = 9,
  -- A machine that takes this many times the usual boot time is released.
  boot_patience = 3.0,
  -- Seconds after the last response of the store for which a controller goes on
  -- answering heartbeats, so that tasks survive a partition or a store outage.
  -- Cancellations are published only once the last attempt has ended, so none is published
  -- too early, but work on unreachable machines is rescheduled that much later. At most 60.
  blind_s = 60,
  -- Headroom kept per task that is expected to arrive while a machine boots and
  -- fetches an image. Counts only tasks with a start objective.
  spare = 0.5,
  -- Weights of replica placement. Costs are seconds until a replica serves. A risk_*
  -- weight is a multiple of the downtime of a lost replica whose image must be fetched
  -- (the fetch plus 5 s): 0 ignores the risk, the maximum is 1000.
  -- Several replicas of a job on one machine: this times their fraction of the job, and
  -- four times this for more than half of them.
  risk_machine = 0.25,
  -- More replicas in one zone than its equal share, or more than half on spot machines.
  risk_zone = 0.1,
  -- All replicas of a job in one zone, and so all machines that run its image.
  risk_one_zone = 3,
  -- Seconds by which a replica may serve later to avoid keeping one more machine for its
  -- whole run time: a machine without replicas so far; twice this for an empty one.
  pin_s = 6,
  -- A serving replica is moved only if it gains at least this many seconds beyond its
  -- downtime during the move.
  move_s = 1,
}
