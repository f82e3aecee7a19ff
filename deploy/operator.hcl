# Operators' own settings, with everything that is off unless it stands here. Start a
# controller with them:
#
#   target/release/indigopath --config FILE --operator deploy/operator.hcl
#
# and check them first:
#
#   target/release/indigopath check --config FILE --operator deploy/operator.hcl

# Seconds that a machine is idle before it is given back.
idle_return_s = 25

# A counted resource: seats of a licence, or anything else of which there is a number.
# A job asks with "Counts": {"layout-optimiser": 1}, what one task takes.
count "layout-optimiser" {
  # How many there are; 0 lets nothing start.
  units = 4

  # For how long a unit stays taken after a task that did not end by itself: until the
  # licence server has given a dead client's seat back.
  linger_s = 20

  # Units that teams are guaranteed; the rest, and what they do not use, is borrowed.
  # shares = { floorflow-00 = 2 }

  # A licence server that others use too: GET /lmstat there shows what `lmstat -a` prints.
  # server = "127.0.0.1:7788"
}

# Whether replicas are placed by where their model's weights lie, and what a loss, a fetch beside
# others or an eviction costs: docs/operations/image-locality.md. On unless it stands here as false.
weights = true

# A shift: a window in local time in which the services of some classes are protected, such as a store's
# trading hours: docs/operations/protection-windows.md.
shift "perth-trading" {
  time_zone = "Australia/Perth"
  days      = ["mon", "tue", "wed", "thu", "fri", "sat"]

  # Local times. A window that ends at or before its beginning ends on the next day; 24:00 is a day's end.
  from = "06:00"
  to   = "22:00"

  # Days on which no window opens.
  closed = ["2026-12-25"]

  # Classes whose services are protected, and teams; all teams without `teams`.
  classes = ["pickpath-live"]
  # teams = ["floorflow-00"]

  # Of several shifts that are open, lower is served first.
  rank = 1

  # Ready so many seconds before it opens: at least what a machine takes to boot.
  lead_s = 120

  # Part of what is protected that is kept free for it. Machines are rented for it.
  spare = 0.05
}

# Whether GET /v1/counts/holders names the tasks that hold units. It shows ids of all
# teams' jobs to whoever reaches a controller.
show_holders = true

# Weights of teams' requests where they come faster than they can be served, from 1 (as for
# teams that are not named) to 16: docs/operations/accounting.md.
# request_weights = { floorflow-00 = 2 }

# HTCondor submit files are served where this block stands: docs/operations/condor.md.
condor {
  # Team of files without accounting_group; without it, such files are held.
  # default_team = "vision"

  # Class of their jobs, and the image of files that name none, with its size in GB.
  default_class    = "scan-cleaning"
  default_image    = "scan:1"
  default_image_gb = 2.0

  # What machines of a type have beyond Cpus, Gpus, Memory, MachineType, Zone, Spot, Rate.
  machine "g8" {
    OpSys = "LINUX"
    Arch  = "X86_64"
  }
}
