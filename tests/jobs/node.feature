Feature: nodes on the emulated platform serve jobs

  Scenario: a job is accepted, stored, run and shown as completed
    Given 2 nodes on an emulated platform with 2 executors
    When a caller submits a job of 2 steps with 3 tasks each at node 1
    Then node 2 shows the job as completed
    And each of its 6 tasks ended done once

  Scenario: the same id is one job, also at another node and later
    Given 2 nodes on an emulated platform with 2 executors
    When a caller submits the same job at both nodes and again when it is completed
    Then each of its 2 tasks ended done once

  Scenario: what is no job is answered as such
    Given 1 nodes on an emulated platform with 1 executors
    Then these calls are answered
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

  Scenario: a cancelled job that lasts is stopped and shown as cancelled
    Given 1 nodes on an emulated platform with 2 executors
    When a caller submits a job that lasts with 2 tasks
    Then its tasks run
    When the caller cancels the job
    Then node 1 shows the job as cancelled
    And nothing runs on the executors

  Scenario: an append whose answer is lost is stored once and runs once
    Given 1 nodes on an emulated platform with 2 executors
    When the store loses the next 3 answers to appends while a job runs
    Then each of its 2 tasks ended done once

  Scenario: while the store is down callers are told when to come back
    Given 1 nodes on an emulated platform with 1 executors
    When the store is down
    Then a submission is answered 503 with a time to come back
    And the node leaves the rotation
    When the store is up again
    Then a job submitted now is completed

  Scenario: another node takes over from a scheduler that is gone
    Given 2 nodes on an emulated platform with 2 executors
    When the scheduling node ends without a word while a job runs
    Then the other node shows the job as completed
    And each of its 4 tasks ended done once
    And the executors have seen a higher token

  Scenario: a scheduler that was replaced can neither store nor start
    Given 2 nodes on an emulated platform with 2 executors
    When another node takes the term under a higher epoch
    Then the old scheduler follows again after its next append

  Scenario: the tasks of an executor that goes silent start again when its lease is over
    Given 1 nodes on an emulated platform with 2 executors
    When one executor goes silent while it runs tasks of a job
    Then node 1 shows the job as completed
    And no task ran twice at the same time under a lease

  Scenario: an executor's new life at the same address ends the old one at once
    Given 1 nodes on an emulated platform with 2 executors
    When one executor's address is taken over by another life
    Then node 1 shows the job as completed

  Scenario: records of other writers change nothing
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
    Then a job submitted now is completed

  Scenario: history that the store forgot is read from the newest records
    Given 1 nodes on an emulated platform with 1 executors
    When the store forgets its history
    Then a job submitted now is completed

  Scenario: a wave reboots each VM once and is said to be completed
    Given 1 nodes on an emulated platform with 3 executors
    When a wave of all VMs with 1 at once is asked for
    Then each VM had its upkeep, never 2 at once, and the wave is completed

  Scenario: a pool that needs more takes VMs that are off
    Given 1 nodes on an emulated platform with 1 executors
    And 2 VMs that are off
    When a caller submits more work than the pool holds
    Then a VM that was off joins the pool

  Scenario: a node that stops hands the term on and shows no more sign of life
    Given 2 nodes on an emulated platform with 2 executors
    When the scheduling node is told to stop
    Then its last term record says that it resigned, also 1 s later
    And the other node schedules

  Scenario: settings that are read again change bounds, and bad ones change nothing
    Given 1 nodes on an emulated platform with 1 executors
    When the settings are read again with a status time of 5000 ms
    Then the node's status time is 5000 ms
    When the settings are read again and cannot be used
    Then the node's status time is 5000 ms
    And a job submitted now is completed

  Scenario: a submission is refused at once while the store is known to be out of reach
    Given 1 nodes on an emulated platform with 1 executors
    When the store is down
    And the node has noticed
    Then the next submission is answered 503 without a call to the store

  Scenario: counters and timings are told to scrapers
    Given 2 nodes on an emulated platform with 2 executors
    When a caller submits a job of 2 steps with 3 tasks each at node 1
    Then node 2 shows the job as completed
    And a scraper of the scheduling node reads what was counted
    And a scraper of the node that took the job reads how it was answered
    And another path of the metrics address has no page

  Scenario: a node that the store turns away closes its callers' connections
    Given 1 nodes on an emulated platform with 1 executors
    When the store is down
    And the node has noticed
    Then its next answer leaves the connection open
    And the node leaves the rotation
    And its next answer closes the connection
