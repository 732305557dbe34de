Feature: limits of customers

  Customer a may run 4 cores at once and customer b 300 MB. Services s and t have two
  executors each with 8 cores and 1000 MB.

  Background:
    Given services s and t with customers a and b

  Scenario: the tasks of a wide step go in waves under the limit
    When a submits 10 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    And 0 tasks of a start
    When 3 runs of a end done
    Then 3 tasks of a start
    When 4 runs of a end done
    Then 3 tasks of a start
    When 3 runs of a end done
    Then all jobs of a are completed and it runs nothing

  Scenario: a limit holds over all services, and for each kind of resource
    When a submits 3 tasks of 1000 cores_m to s
    And a submits 3 tasks of 1000 cores_m to t
    And b submits 5 tasks of 500 cores_m to t
    Then 4 tasks of a and 3 tasks of b start

  Scenario: an end in one service lets a job start in another
    When a submits 4 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When a submits 1 tasks of 1000 cores_m to t
    Then 0 tasks of a start
    When 1 runs of a end done
    Then 1 tasks of a start

  Scenario Outline: a customer without a limit is not held back
    When <customer> submits 16 tasks of 1000 cores_m to s
    Then 16 tasks of <customer> start

    Examples:
      | customer |
      | unknown  |
      | nobody   |

  Scenario: a customer that is removed from the configuration has no limit any more
    When a submits 10 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When customer a is removed
    Then 6 tasks of a start

  Scenario: a deployment without customers has no limits
    When a submits 10 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When the configuration has no customers
    Then 6 tasks of a start

  Scenario: fill tasks count with their cores
    When a submits 10 fill tasks of 1000 cores_m to s
    Then 4 tasks of a start

  Scenario: a gang starts under the limit as a whole or not at all
    When a submits 2 tasks of 1000 cores_m to s
    Then 2 tasks of a start
    When a submits a gang of 3 tasks of 1000 cores_m to s
    Then 0 tasks of a start
    When 1 runs of a end done
    Then 3 tasks of a start

  Scenario: other customers are served while one is at its limit
    When a submits 10 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When a submits 10 tasks of 1000 cores_m to s
    And b submits 2 tasks of 1000 cores_m to s
    Then 2 tasks of b start

  Scenario: a lowered limit ends nothing and blocks new starts until it is met again
    When a submits 10 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When the limit of a is 2000 cores_m
    Then 0 tasks of a start
    When 2 runs of a end done
    Then 0 tasks of a start
    When 1 runs of a end done
    Then 1 tasks of a start
    When the limit of a is 5000 cores_m
    Then 3 tasks of a start

  Scenario: a task accepted before the limit was lowered under it starts alone
    When a submits 2 tasks of 3000 cores_m to s
    And the limit of a is 2000 cores_m
    Then 1 tasks of a start
    And 0 tasks of a start
    When 1 runs of a end done
    Then 1 tasks of a start

  Scenario: a gang accepted before the limit was lowered exceeds it by less than one task
    When a submits a gang of 4 tasks of 1000 cores_m to s
    And the limit of a is 2500 cores_m
    Then 0 tasks of a start
    When the limit of a is 3500 cores_m
    Then 4 tasks of a start

  Scenario: a large task starts although small ones of its customer come without end
    Given small tasks of a take all of its limit, and more keep coming
    When a submits a task of 4000 cores_m to s while small ones go on for 10 s
    Then the large task starts within 1000 ms, and without held room it does not

  Scenario: room held for a task that cannot start is given up again
    Given small tasks of a take all of its limit, and more keep coming
    When a submits a task that fits no executor to s, then small ones for 10 s
    Then 80 small tasks are done or run

  Scenario: a run that is being stopped counts until it has ended
    When a submits 4 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When a's first job is cancelled
    And a submits 4 tasks of 1000 cores_m to s
    Then 0 tasks of a start
    When 2 runs of a end stopped
    Then 2 tasks of a start

  Scenario: a start without an answer counts until it is refused for good
    When a submits 4 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When a submits 4 tasks of 1000 cores_m to t
    Then 0 tasks of a start
    When 1 starts of a are refused for good
    Then 1 tasks of a start

  Scenario: the runs of a silent executor count until its lease has lapsed
    When a submits 4 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When the executors of s are silent
    And a submits 4 tasks of 1000 cores_m to t
    Then 0 tasks of a start
    When the leases of the executors of s have lapsed
    Then 4 tasks of a start
    When late ends of the lapsed runs are reported twice
    Then 0 tasks of a start
    And usage is the sum of allocations

  Scenario: a new scheduler counts the runs of its predecessor before it starts any
    When a submits 10 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When a new scheduler takes over that reads no executors at first
    Then 0 tasks of a start
    When the executors of t register
    And a submits 4 tasks of 1000 cores_m to t
    Then 0 tasks of a start
    When the executors of s register
    Then 0 tasks of a start
    When 1 runs of a end done
    Then 1 tasks of a start
    And usage is the sum of allocations

  Scenario: a new scheduler releases runs on executors that never register
    When a submits 4 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When a new scheduler takes over that reads no executors at first
    And the executors of t register
    And a submits 4 tasks of 1000 cores_m to t
    Then 0 tasks of a start
    When the leases of the executors of s have lapsed
    Then 4 tasks of a start

  Scenario: a scheduler that is lost before its decisions are stored leaves no usage
    When a submits 4 tasks of 1000 cores_m to s
    And the scheduler is lost before its decisions are stored
    Then 4 tasks of a start

  Scenario: a start whose command is late counts for the next scheduler
    When a submits 4 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When a new scheduler takes over
    And a submits 4 tasks of 1000 cores_m to t
    Then 0 tasks of a start
    When 4 starts of a are refused for good
    Then 4 tasks of a start

  Scenario: forgetting an executor with runs leaves no usage
    When a submits 4 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When the executors of s are forgotten
    Then usage is the sum of allocations
    And all jobs of a are unfinished and it runs nothing

  Scenario: probes on quarantined executors obey the limit
    Given one failure quarantines an executor, and all are quarantined
    When a submits 2 tasks of 3000 cores_m to s
    Then 1 tasks of a start
    When c submits 1 tasks of 3000 cores_m to s
    Then 0 tasks of a and 1 tasks of c start

  Scenario: a gang on quarantined executors obeys the limit
    Given one failure quarantines an executor, and all are quarantined
    When a submits 1 tasks of 3000 cores_m to t
    Then 1 tasks of a start
    When a submits a gang of 2 tasks of 1000 cores_m to s
    Then 0 tasks of a start
    When 1 runs of a end done
    Then 2 tasks of a start

  # Without the limit on arriving work s would need 13 VMs at first.
  Scenario: what a limit holds back is no need of a pool and no work that others wait for
    When a submits 40 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    And s needs 1 VMs, and 0 cores_m wait there
    When b submits 5 tasks of 8000 cores_m to s
    Then s needs 3 VMs, and 16000 cores_m wait there

  Scenario: a customer's headroom is divided among the services where it waits
    Given no executor has room
    When a submits 4 tasks of 1000 cores_m to s
    And a submits 12 tasks of 1000 cores_m to t
    Then 0 tasks of a start
    And 1000 cores_m wait in s and 3000 cores_m in t

  Scenario: tasks that a limit holds back need no VMs although they may not share executors
    When a submits 10 tasks of 1000 cores_m, one on each executor, to s
    Then 2 tasks of a start
    And s needs 4 VMs, and 2000 cores_m wait there

  Scenario: a planning round is short while thousands of jobs are held back
    When a submits 3000 jobs of 1 task of 1000 cores_m to s
    Then a round that starts b's job looks at no executor for a's jobs
    And after 1100 ms each round evaluates at most 200 of them, and 15 rounds all

  Scenario: a stalled job names its customer's limit
    When a submits 4 tasks of 1000 cores_m to s
    Then 4 tasks of a start
    When a submits 1 tasks of 1000 cores_m to s
    And 4000 ms pass
    Then the line about its stall names the limit of its customer
