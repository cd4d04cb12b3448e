# The operators' script: scheduling settings in Starlark. A controller reads it once, when it starts.
#
# Each line below shows a setting with its default value, commented out. `site` holds the facts of this
# deployment: member, zones, teams, nodes, report_s, lease_s, cancel_s. Names of your own helper variables and
# functions must begin with an underscore. After an error the controller does not start, and the message names
# the line; a running controller does not read this file again.

# --- order in which waiting jobs are served
# aging_s = 60.0             # after waiting this long, a job is ranked as if half of its remaining work were done
# guarantee_first = True     # jobs within their team's guarantee are served before jobs that exceed it
# image_share = 0.1          # a job whose image is on more than this share of the machines gets others only after all other jobs
# turn_s = 120.0             # a job of which no task has started for this long is served before all others,
# turn_share = 0.02          # for this share of its tasks, rounded up; these tasks are never preempted

# --- preemption
# preempt_per_round = 16     # maximum number of tasks preempted in one scheduling round,
# preempt_share = 0.004      # or this share of the running tasks, if that is more
# preempt_machines = 1024    # machines examined in one search for victims; the next search continues after them
# preempt_wait_s = 0.4       # tasks are not preempted for capacity that ending tasks are expected to release within this time
# guarantee_wait_s = 300.0  # how long work within its team's guarantee waits before it preempts teams that exceed theirs
# fetch_weight = 8.0         # weight of the image fetch time in the cost of preempting on a machine that lacks the image

# --- launching and deleting machines
# ordinary_after_s = 1e9     # backlog, in seconds of the whole fleet's work, from which on-demand machines are launched for any job
# target_margin = 1.0        # on-demand machines are launched for jobs expected to take more than this share of the allowed time
# patience_s = 2.0           # no machines are launched for a backlog that the present fleet clears within this time
# refused_s = 20.0           # after a refusal by the cloud, no machine of that pool (type, zone, spot or not) is requested for this long
# keep_idle_s = 30.0         # idle machines within the reserve are deleted after this time,
# surplus_idle_s = 8.0       # other idle machines after this time,
# dear_idle_s = 2.0          # and idle on-demand machines after this time while the spot machines suffice to meet the deadlines
# reserve = 1.0              # size of the reserve of idle machines, as a multiple of the mean CPUs of the recent urgent jobs
# reserve_memory_s = 90.0    # how long an urgent job counts as recent

# --- services (shape "daemon")
# standing_share = 0.05      # on-demand machines are kept for the running services plus this share of them,
# standing_floor = 40.0      # plus this many CPUs, from the start if the objectives name services,
# standing_boots = 0.75      # plus once more for the services accepted within this many boot times
# spread_s = 6.0             # each replica of the same job on a machine counts as this many more seconds of fetching
# standing_quiet = 2.5       # a machine without a heartbeat for this many times report_s gets no replicas

# --- failing tasks
# job_fault_machines = 3     # a job with this many failed runs, which runs nowhere else, is itself considered faulty

# --- responses to heartbeats
# hold_s = 1.2               # how long the heartbeat of a machine with tasks and free capacity is held open for new work
# hold_idle_s = 1.5          # the same for a machine without tasks (at most 3/4 of report_s)

# --- balancer, which migrates tasks to free capacity for waiting ones (docs/design.md)
# balance_every_s = 1.0      # minimum time between two rounds
# balance_share = 0.02       # maximum share of the running tasks migrated in one round, rounded up
# balance_trials = 4         # independent trials of one search,
# balance_iterations = 3     # and the iterations of each trial
# balance_sources = 3        # machines tried as the source for one waiting task
# balance_jobs = 4           # waiting jobs for which one round searches migrations
# balance_machines = 1024    # maximum number of machines from which a round draws targets; of a larger fleet, a random subset
# summary_every_s = 30.0     # interval at which the leader writes its load summary to the state service

# --- load spread (docs/load-spread.md); off by default, that page gives the measurements behind this
# spread = False             # place tasks by cost, and migrate running tasks off machines with a load far above the average
# spread_fetch_weight = 1.0  # cost, in seconds, of one second of fetching an image
# spread_load_s = 10.0       # cost, in seconds, of a load above the fleet's average by one whole machine
# spread_affinity_s = 0.5    # maximum cost difference, in seconds, between machines that differ only by rendezvous hashing
# spread_candidates = 256    # candidate machines for a job: this many of the least loaded, and as many of those with its image
# spread_every_s = 5.0       # minimum time between two rebalancing rounds of running tasks
# spread_threshold = 2.0     # tasks are migrated off machines above this multiple of the average load; 1 or more
# spread_rest_s = 60.0       # a task that started or was migrated less than this long ago is not migrated
# spread_restarts_default = 1  # how often migrations may restart a task, counted across all leaders; by class:
# spread_restarts = {}       # {"CLASS": 2, ...}
# spread_lossy = []          # classes whose tasks may be migrated although they save no checkpoints
# extra_classes = []         # job classes that no objective of the deployment names, but that settings in this script name

# --- loss and return of zones (docs/zone-recovery.md); off by default, that page gives the measurements behind this
# recovery = False           # detect lost zones, place nothing there, and restore work in order when a zone returns
# recovery_least = 3         # in a zone with fewer machines, a zone loss is not distinguished from the loss of single machines
# recovery_settle_leases = 1.0  # a returning zone is up after sending heartbeats for this many leases; doubled after each flap
# recovery_flap_memory_s = 600.0  # a loss within this time after the zone's return from the previous one counts as a flap
# return_order = []          # classes in the order in which their work is restored; other classes follow by priority

# --- admission under overload (docs/admission-operations.md); off by default, see the measurements in docs/admission.md
# admission = False          # under overload, refuse a part of the jobs, the same part at every controller
# admission_interval_s = 2.0 # time between two admission levels while jobs are refused
# admission_window_s = 10.0  # time window over which the demand is measured
# admission_turn_s = 60.0    # time in which the window of admitted jobs moves on by its own width
# admission_enter = 1.25     # refusal begins when the demand exceeds this multiple of the capacity,
# admission_leave = 0.8      # and ends when the demand has been below this multiple of it
# admission_clear_s = 10.0   # for this long
# admission_accept_share = 0.35  # initial share of the state service's write rate that accepting jobs may use
# admission_floor = 0.05     # minimum share of the capacity for each class, and minimum part of each flow that is admitted
# admission_floors = {}      # the same by class: {"CLASS": 0.1, ...}
# admission_backlog_s = 900.0  # jobs are refused if the backlog of their priority and above exceeds this and the fleet can't grow
