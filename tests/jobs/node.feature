Feature: nodes on the emulated platform serve jobs

  Scenario: a job is accepted, stored, run and shown as completed
    Given 2 nodes on an emulated platform with 2 executors
    When a caller submits a job of 2 steps with 3 tasks each at node 1
    Then node 2 shows the job as completed
    And each of its 6 tasks ended done once

  Scenario: a repeated submission of an id creates no second job on any node
    Given 2 nodes on an emulated platform with 2 executors
    When a caller submits the same job at both nodes and again when it is completed
    Then each of its 2 tasks ended done once

  Scenario: unknown jobs and invalid submissions get error statuses
    Given 1 nodes on an emulated platform with 1 executors
    Then these calls are answered with their status
      | method | path               | body            | status |
      | GET    | /q/                |                 | 200    |
      | GET    | /q/00000000000000aa |                | 410    |
      | DELETE | /q/00000000000000aa |                | 410    |
      | GET    | /other/00000000000000aa |            | 404    |
      | POST   | /q/short           | {"steps":[{}]}  | 400    |
      | POST   | /q/00000000000000aa | {"steps":[      | 400    |
      | POST   | /q/00000000000000aa | {"spec":"x"}    | 400    |
      | POST   | /q/00000000000000aa | {"spec":7,"steps":[{}]} | 400 |
      | POST   | /q/00000000000000aa | {"spec":"x","steps":[{"count":"2"}]} | 400 |
      | POST   | /q/00000000000000aa | {"spec":"x","steps":[{"after":[0]}]} | 400 |
    And a spec of 4001 bytes is refused and one of 4000 bytes is accepted

  Scenario: a cancelled long-running job is stopped and shown as cancelled
    Given 1 nodes on an emulated platform with 2 executors
    When a caller submits a long-running job with 2 tasks
    Then its 2 tasks run
    When the caller cancels the job
    Then node 1 shows the job as cancelled
    And the executors have no runs

  Scenario: a job whose append loses its answer is stored and run once
    Given 1 nodes on an emulated platform with 2 executors
    When the store loses the next 3 answers to appends while a job runs
    Then each of its 2 tasks ended done once

  Scenario: another node's record of one job does not acknowledge the other jobs of a lost append
    Given 2 nodes on an emulated platform with 2 executors
    When the store neither carries out nor answers an append of two jobs by node 1
    And the first of these jobs is repeated at node 2
    Then node 1 answers the first job with 200
    And node 1 answers the second job with 504, as it is not stored

  Scenario: while the store is down submissions get 503 with Retry-After
    Given 1 nodes on an emulated platform with 1 executors
    When the store is down
    Then a submission is answered 503 with Retry-After
    And the node reports that it is not ready
    When the store is up again
    Then a job submitted now is completed

  Scenario: another node takes over from a scheduler that was killed
    Given 2 nodes on an emulated platform with 2 executors
    When the scheduling node is killed while a job runs
    Then the other node shows the job as completed
    And each of its 4 tasks ended done once
    And the executors have received a higher fencing token

  Scenario: a run whose end is not among the first 500 that its executor lists is not repeated
    Given 2 nodes on an emulated platform with 2 executors
    When the scheduling node is killed while executors that list 500 older ends run a job
    Then the other node shows the job as completed
    And each of its 4 tasks ended done once

  Scenario: a scheduler that was replaced can neither store records nor start runs
    Given 2 nodes on an emulated platform with 2 executors
    When another node begins a term with a higher epoch
    Then the old scheduler becomes a follower after its next append

  Scenario: a node is elected although another record is stored before each candidacy
    Given 2 nodes on an emulated platform with 1 executors
    When the scheduler is killed, and a job's record is stored before each candidacy
    Then the other node schedules within 2.5 s

  Scenario: a node that reads the scheduler's record after its candidacy waits for its leases
    Given 2 nodes on an emulated platform with 1 executors
    When the scheduler is killed, and a record of its term is stored before a candidacy
    Then the other node schedules 1.5 s after it has read that record

  Scenario: the time limit of an earlier candidacy does not end a later one of the same epoch
    Given 1 nodes on an emulated platform with 1 executors
    When the node is restarted and the store refuses its candidacies for 1.5 s
    And the record of its next candidacy is stored but cannot be read for 0.8 s
    Then the node is elected by reading that record

  Scenario: tasks of an unresponsive executor restart once its lease has lapsed
    Given 1 nodes on an emulated platform with 2 executors
    When one executor stops responding while it runs tasks of a job
    Then node 1 shows the job as completed
    And no task ran twice at the same time under a lease

  Scenario: an executor's new incarnation at the same address ends the old one at once
    Given 1 nodes on an emulated platform with 2 executors
    When another incarnation takes over one executor's address
    Then node 1 shows the job as completed

  Scenario: a job on an executor that was unlisted and listed again does not run on forever
    Given 1 nodes on an emulated platform with 1 executors
    When the only executor has run a job, and is unlisted and listed again
    Then a job submitted now is completed

  Scenario: an incarnation listed at the address of an unlisted one is watched
    Given 1 nodes on an emulated platform with 1 executors
    When the only executor has run a job, and another incarnation is listed in its place
    Then a job submitted now is completed
    And the scheduler knows 1 executors

  Scenario: an executor that is unlisted during its last runs is not kept after them
    Given 1 nodes on an emulated platform with 1 executors
    When the only executor is unlisted while it runs a job, which is then completed
    Then all ends of runs are acknowledged to the executor
    And the scheduler knows 0 executors

  Scenario: an executor that was silent when it was unlisted is not closed to runs forever
    Given 1 nodes on an emulated platform with 1 executors
    When the only executor is silent and unlisted until its lease has lapsed
    And it is listed again
    Then a job submitted now is completed

  Scenario Outline: a job does not wait on a run that nobody watches
    Given 1 nodes on an emulated platform with 1 executors
    When <fault> before the only executor runs a job
    Then each of its 2 tasks ended done once

    Examples:
      | fault                                     |
      | a renewal never reports its result        |
      | the agent is left with another record     |

  Scenario: an agent is not replaced because the scheduler was paused
    Given 1 nodes on an emulated platform with 1 executors
    When the scheduler is paused for 5 s and the only executor is silent in a job
    Then the executor keeps its agent

  Scenario: the records of a cancelled job are kept while a run of it may go on
    Given 1 nodes on an emulated platform with 1 executors
    When a caller cancels a long-running job whose executor is silent
    Then its records are kept after the time in which callers may query it
    When its executor answers again and ends the run
    Then its records are deleted

  Scenario: malformed records of other writers are ignored
    Given 1 nodes on an emulated platform with 1 executors
    When these records are written
      | topic         | key                    | value                 |
      | keyed.servers | i-other                | not JSON              |
      | keyed.servers | i-nostate              | {"service":"s"}       |
      | keyed.servers | i-type                 | {"service":"s","address":7,"state":"ready","capacity":{}} |
      | keyed.servers | i-state                | {"service":"s","address":"127.0.0.1:1","state":"odd","capacity":{"cpu":1,"memMb":1}} |
      | keyed.op      | config                 | {"version":"x"}       |
      | keyed.op      | wave/9                 | []                    |
      | keyed.jobs    | job/00000000000000bb   | not CBOR              |
      | keyed.jobs    | progress/00000000000000bb | not CBOR           |
      | keyed.jobs    | append/n0              | not CBOR              |
      | keyed.jobs    | unknown/n0             | not CBOR              |
    Then a job submitted now is completed

  Scenario: after its records expired a topic is read from the newest of each key
    Given 1 nodes on an emulated platform with 1 executors
    When all records of the store expire
    Then a job submitted now is completed

  Scenario: a job that was cancelled is not started after its records expired
    Given 1 nodes on an emulated platform with 1 executors
    When a job, its cancellation and the job again are stored and expire before a read
    Then node 1 shows the job as cancelled
    And the job has not started 1 s later

  Scenario: a wave reboots each VM once and is reported as completed
    Given 1 nodes on an emulated platform with 3 executors
    When an operator requests a wave of all VMs, at most 1 at once
    Then each VM had its upkeep once, never 2 at once, and the wave is completed

  Scenario: a wave waits for starting tasks, then takes down no more of them than may be away
    Given 1 nodes on an emulated platform with 1 executors
    When a caller submits a lasting job of 2 tasks, 1 of which may be away
    And both tasks start slowly on the only executor
    And an operator requests a wave of all VMs, at most 1 at once
    Then no VM is taken down for 2 s
    When 2 more executors register and both tasks are ready
    Then the wave is completed, and never ended more than 1 task at once

  Scenario: a wave does not take down a silent executor that runs more tasks than may be away
    Given 1 nodes on an emulated platform with 1 executors
    When a caller submits a lasting job of 2 tasks, 1 of which may be away
    And both tasks have been ready for 1.5 s
    And the only executor stops responding
    And an operator requests a wave of all VMs, at most 1 at once
    Then no VM is taken down for 3 s

  Scenario: a new scheduler does not wait a whole lease again for an executor that was silent before
    Given 2 nodes on an emulated platform with 2 executors
    When an executor with runs falls silent right after a renewal of its lease
    And the scheduling node is killed 2.9 s later
    Then its tasks start elsewhere after its lease ends, but within 3 s
    And no executor is recorded as silent

  Scenario: a new scheduler does not wait a whole lease again for an executor that vanished before
    Given 2 nodes on an emulated platform with 2 executors
    When an executor with runs falls silent right after a renewal of its lease
    And it is no longer registered
    And the scheduling node is killed 2.9 s later
    Then its tasks start elsewhere after its lease ends, but within 3 s
    And no executor is recorded as silent

  Scenario: a new scheduler waits for the lease that an executor got after its silence
    Given 2 nodes on an emulated platform with 2 executors
    When an executor with runs falls silent right after a renewal of its lease
    And it answers again once the store has a record of its silence
    And it falls silent and the scheduling node is killed right after the next renewal
    Then its tasks start elsewhere only after its lease ends

  Scenario: an executor gets no lease while a stored record says that it gets none
    Given 2 nodes on an emulated platform with 2 executors
    When an executor with runs falls silent right after a renewal of its lease
    And it answers again while the store is down but has a record of its silence
    Then its lease is not renewed for 0.8 s
    When the store is up again
    Then its lease is renewed before it ends

  Scenario: a pool without enough capacity gets VMs from the standby pool
    Given 1 nodes on an emulated platform with 1 executors
    And 2 VMs in the standby pool
    When a caller submits more work than the pool has capacity for
    Then a standby VM moves to the pool

  Scenario: a node that shuts down resigns the term and writes no more term records
    Given 2 nodes on an emulated platform with 2 executors
    When the scheduling node is stopped
    Then its last term record is a resignation, also 1 s later
    And the other node schedules

  Scenario: reloaded settings change bounds, and invalid ones change nothing
    Given 1 nodes on an emulated platform with 1 executors
    When the settings are reloaded with status_ms = 5000
    Then the node's status_ms is 5000
    When invalid settings are reloaded
    Then the node's status_ms is 5000
    And a job submitted now is completed

  Scenario: submissions fail at once while the store is known to be unreachable
    Given 1 nodes on an emulated platform with 1 executors
    When the store is down
    And the node has detected it
    Then the next submission is answered 503 without a call to the store

  Scenario: the metrics page has the counters and timings of a node
    Given 2 nodes on an emulated platform with 2 executors
    When a caller submits a job of 2 steps with 3 tasks each at node 1
    Then node 2 shows the job as completed
    And the scheduling node's metrics count the runs and the first start
    And the metrics of the node that accepted the job count its answer
    And the metrics count every completed append as answered or read
    And another path of the metrics address has no page

  Scenario: a node without access to the store closes its callers' connections
    Given 1 nodes on an emulated platform with 1 executors
    When the store is down
    And the node has detected it
    Then its next answer leaves the connection open
    And the node reports that it is not ready
    And its next answer closes the connection
