# The operators' script: scheduling settings in Starlark, read once when a controller starts.
#
# Every line below is a default, commented out. `site` holds this deployment's facts: member, zones, teams,
# nodes, report_s, lease_s, cancel_s. Helpers of your own begin with an underscore. A mistake stops the
# start with a message that names the line; a running service never reads this file again.

# --- order of service
# aging_s = 60.0             # after this long a waiting job counts as half its size
# guarantee_first = True     # work within its team's guarantee goes before work that borrows
# image_share = 0.1          # an image on this share of the machines: its jobs leave capacity elsewhere to others, if any
# turn_s = 120.0             # a job of which nothing was started for this long goes before all others, for
# turn_share = 0.02          # this share of its tasks, rounded up, which no other work then preempts

# --- preemption
# preempt_per_round = 16     # tasks preempted for waiting work in one round,
# preempt_share = 0.004      # or this share of the running ones, if that is more
# preempt_machines = 1024    # machines that one search for such tasks looks at; the next one goes on from there
# preempt_wait_s = 0.4       # capacity that ending tasks release within this is not made by preemption
# guarantee_wait_s = 300.0  # how long work within a guarantee waits before it preempts borrowed capacity
# fetch_weight = 8.0         # how much a fetch counts against a machine when victims are chosen

# --- scaling out and in
# ordinary_after_s = 1e9     # backlog, in seconds of the fleet, from which on-demand machines are launched anyhow
# target_margin = 1.0        # on-demand machines are launched for work expected past this share of its objective
# patience_s = 2.0           # a backlog shorter than this waits for the present fleet
# refused_s = 20.0           # how long a refusal by the cloud is remembered
# keep_idle_s = 30.0         # idle machines of the reserve are returned after this
# surplus_idle_s = 8.0       # others after this
# dear_idle_s = 2.0          # on-demand ones after this while the spot machines are in time without them
# reserve = 1.0              # the reserve, in mean CPUs of the urgent jobs that came lately
# reserve_memory_s = 90.0    # what "lately" is

# --- services (shape "daemon")
# standing_share = 0.05      # on-demand machines are kept for this much more than the running services,
# standing_floor = 40.0      # and for this many CPUs more, from the start where the objectives name services,
# standing_boots = 0.75      # and for what was accepted within this many boot times once more
# spread_s = 6.0             # a second replica on a machine counts as this many more seconds of fetching
# standing_quiet = 2.5       # a replica goes to no machine without a heartbeat for this many times report_s

# --- failing runs
# job_fault_machines = 3     # a job that failed on this many machines, and ran on none, is itself at fault

# --- responses to heartbeats
# hold_s = 1.2               # how long the heartbeat of a machine with some capacity is held, awaiting work
# hold_idle_s = 1.5          # the same for an empty machine (at most 3/4 of report_s)

# --- the balancer (docs/design.md)
# balance_every_s = 1.0      # a round this often at most
# balance_share = 0.02       # of the running tasks are migrated in a round, rounded up
# balance_trials = 4         # trials, each of
# balance_iterations = 3     # iterations
# balance_sources = 3        # machines tried as the source for a waiting task
# balance_jobs = 4           # waiting jobs that migrations are searched for in one round
# balance_machines = 1024    # machines that a round draws targets from; of a larger fleet, a random part
# summary_every_s = 30.0     # the leader's summary is written to the state service this often

# --- load spread (docs/load-spread.md); off here: docs/load-spread.md has the figures that decided it
# spread = False             # place by cost, and move running work off machines far above the average
# spread_fetch_weight = 1.0  # what a second of fetching an image counts when a machine is chosen
# spread_load_s = 10.0       # what a whole machine's load above the fleet's average counts, in seconds
# spread_affinity_s = 0.5    # at most this much between machines that only rendezvous hashing tells apart
# spread_candidates = 256    # machines that a job chooses from: this many of the least loaded, and of those with its image
# spread_every_s = 5.0       # running work is rebalanced this often at most
# spread_threshold = 2.0     # off machines above this multiple of the average load; 1 or more
# spread_rest_s = 60.0       # a task that began, or was migrated, less than this ago stays
# spread_restarts_default = 1  # how often migrations may restart a task, whichever controller leads, by class:
# spread_restarts = {}       # {"CLASS": 2, ...}
# spread_lossy = []          # classes whose tasks may be migrated although they save no checkpoints
# extra_classes = []         # classes of jobs that no objective of the deployment names, so that settings may

# --- loss and return of zones (docs/zone-recovery.md); off here: that page has the figures that decided it
# recovery = False           # detect a lost zone, close it, and bring work back in order
# recovery_least = 3         # in a zone of fewer machines a loss is not distinguished from single lost machines
# recovery_settle_leases = 1.0  # leases for which a zone must send heartbeats until it is up; twice as many after each flap
# recovery_flap_memory_s = 600.0  # a loss within this time after the one before counts as a flap
# return_order = []          # classes in the order in which they come back; others follow by priority

# --- admission under overload (docs/admission-operations.md); off here: docs/admission.md has the figures that decided it
# admission = False          # refuse a part, at every controller alike, of what can't be taken
# admission_interval_s = 2.0 # from one level to the next, while jobs are refused
# admission_window_s = 10.0  # what demand is measured over
# admission_turn_s = 60.0    # time in which the part that is admitted moves on by its own width
# admission_enter = 1.25     # refusing begins at this multiple of the capacity,
# admission_leave = 0.8      # and ends when demand has been below this multiple of it
# admission_clear_s = 10.0   # for this long
# admission_accept_share = 0.35  # of the state service's changes: what acceptances may take to begin with
# admission_floor = 0.05     # least share of the capacity for each class, of each flow what is always admitted
# admission_floors = {}      # the same by class: {"CLASS": 0.1, ...}
# admission_backlog_s = 900.0  # accepted work of a priority beyond this is refused once the fleet can't grow
