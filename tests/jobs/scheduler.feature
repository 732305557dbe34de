Feature: placement of tasks on executors, and handling of the ends of runs

  Scenario: steps run in order and a job completes when its last task is done
    Given a pool of 2 executors with 16 cores each
    When a job with steps of 3 and 2 tasks of 1 core is added
    Then the plan starts 3 tasks
    When all running tasks are done
    Then the plan starts 2 tasks
    When all running tasks are done
    Then the job ends as completed

  Scenario: no executor is allocated more than its capacity
    Given a pool of 2 executors with 4 cores each
    When a job with steps of 20 and 1 tasks of 1 core is added
    Then the plan starts 8 tasks
    And no executor holds more than its cores

  Scenario: a job fails when a task has failed as often as its queue allows
    Given a pool of 3 executors with 4 cores each
    When a job with steps of 1 and 1 tasks of 1 core is added
    And its first task fails 3 times
    Then the job ends as failed
    And the plan starts 0 tasks

  Scenario: a failed task is retried on another executor
    Given a pool of 3 executors with 4 cores each
    When a job with steps of 1 and 1 tasks of 1 core is added
    Then its task runs on another executor after a failure

  Scenario: an executor that fails tasks of several jobs in a row is quarantined
    Given a pool of 2 executors with 4 cores each
    When every task on the first executor fails in 2 jobs
    Then new jobs run on the second executor only
    And after the quarantine they run on the first executor again

  Scenario: cancelling a job stops its runs and starts no more
    Given a pool of 1 executors with 2 cores each
    When a job with steps of 4 and 1 tasks of 1 core is added
    Then the plan starts 2 tasks
    When the job is cancelled
    Then 2 stops are ordered
    And the plan starts 0 tasks

  Scenario: a job whose record is read after that of its cancellation is not started
    Given a pool of 1 executors with 2 cores each
    When the cancellation of a job is read, and then the job
    Then the plan starts 0 tasks
    And the job ends as cancelled

  Scenario: the runs of an executor that is gone start again with a higher number
    Given a pool of 2 executors with 4 cores each
    When a job with steps of 4 and 1 tasks of 1 core is added
    Then the plan starts 4 tasks
    When the executor of the first task is known to run nothing
    Then its tasks start again elsewhere as run 2
    And a late end of run 1 changes nothing

  Scenario Outline: an end reported after its run was marked lapsed counts unless the task restarted
    Given a pool of 2 executors with 4 cores each
    When a job with steps of 2 and 1 tasks of 1 core is added
    Then the plan starts 2 tasks
    When the executor of the first task is known to run nothing
    And its executor reports that run 1 of the first task ended <outcome>
    Then the first task <result>
    And reporting it again changes nothing

    Examples:
      | outcome | result                        |
      | done    | is done and does not start    |
      | failed  | has 1 failure and starts again |
      | lapsed  | has 0 failures and starts again |

  Scenario: the confirmed end of a run is not counted twice
    Given a pool of 2 executors with 4 cores each
    When a job with steps of 2 and 1 tasks of 1 core is added
    Then the plan starts 2 tasks
    When its executor reports that run 1 of the first task ended failed
    And another scheduler takes over
    And its executor reports that run 1 of the first task ended failed
    Then the first task has 1 failure and starts again

  Scenario: draining, unlisted, unreachable and cordoned executors get no new runs
    Given a pool of 5 executors with 4 cores each
    When the first drains, the second is unlisted, the third is unreachable and the fourth is cordoned
    And a job with steps of 4 and 1 tasks of 1 core is added
    Then all tasks run on the fifth executor

  Scenario: a gang starts whole or not at all
    Given a pool of 2 executors with 2 cores each
    When a gang of 5 tasks of 1 core is added
    Then the plan starts 0 tasks
    When a gang of 4 tasks of 1 core is added
    Then the plan starts 4 tasks under one run number
    When one member of the gang fails
    Then the other members are stopped before the gang starts again

  Scenario: occurrences of a scheduled job start when they are due
    Given a pool of 2 executors with 4 cores each
    When a job that repeats 3 times every 1000 ms is added
    Then 0 tasks start before its time, 1 at its time and 2 more later
    And the job is completed once all its occurrences are done

  Scenario Outline: placement respects labels, limits per executor and racks
    Given a pool of 4 executors with 8 cores each
    When a job whose step sets <field> to <value> is added
    Then <rule>

    Examples:
      | field        | value | rule                                  |
      | label        | a     | every task runs on a labelled executor |
      | label        | z     | the plan starts 0 tasks               |
      | per_executor | 1     | no executor runs 2 of its tasks       |
      | rack         | r2    | every task runs on rack r2            |

  Scenario: a job is restored from its stored record
    Given a pool of 2 executors with 4 cores each
    When a job with steps of 3 and 2 tasks of 1 core is added
    And some of its tasks run, one is done and one has failed
    Then a scheduler that restores its record continues its tasks

  Scenario: a pool too small for a step's limit per executor needs more VMs
    Given a pool of 2 executors with 16 cores each
    When a job whose step sets per_executor to 1 is added
    Then the plan starts 2 tasks
    And the pool needs 4 VMs

  Scenario Outline: VMs that take no runs do not count towards the size of their pool
    Given a pool of 2 executors with 16 cores each
    When both executors are <state>
    And a job with steps of 4 and 1 tasks of 1 core is added
    Then the plan starts 0 tasks
    And the pool is short of VMs

    Examples:
      | state       |
      | unreachable |
      | quarantined |

  Scenario: a lasting task shares a VM with another task of its step rather than wait
    Given a pool of 3 executors with 4 cores each
    When tasks that take all of two executors run
    And a lasting step of 3 tasks with a budget of 1 is added
    Then the plan starts 3 tasks

  Scenario: a job of a removed queue keeps its attempts and its service
    Given a pool of 3 executors with 4 cores each
    When a job of a removed queue, with 3 attempts, is added
    And its first task fails 2 times
    Then the job ends as running
    When its first task fails 1 times
    Then the job ends as failed

  Scenario: withdrawing an earlier run leaves the capacity of the current run allocated
    Given a pool of 1 executors with 4 cores each
    When a job with steps of 1 and 1 tasks of 1 core is added
    Then the plan starts 1 tasks
    When the runs of the first executor are marked lapsed and it answers again
    Then the plan starts 1 tasks
    When run 1 of the first task is withdrawn
    Then run 2 of the first task is allocated on the first executor

  Scenario: a gang that has lost a member is stopped by the next scheduler too
    Given a pool of 2 executors with 2 cores each
    When a gang of 4 tasks of 1 core is added
    Then the plan starts 4 tasks under one run number
    When one member of the gang fails
    And another scheduler takes over
    Then 3 stops are ordered

  Scenario: a job whose queue and service were removed starts when room becomes free
    Given a pool of 1 executors with 1 cores each
    When a job with steps of 1 and 1 tasks of 1 core is added
    Then the plan starts 1 tasks
    When a job with steps of 1 and 1 tasks of 1 core is added
    Then the plan starts 0 tasks
    When the queue and its service are removed
    And all running tasks are done
    Then the plan starts 2 tasks, one after the other

  Scenario: a job starts when its queue moves to a service with room
    Given a pool of 1 executors with 1 cores each
    When a job of a queue whose service has no executors is added
    Then the plan starts 0 tasks
    When its queue moves to the service with executors
    Then the plan starts 1 tasks

  Scenario: a job starts when an executor with room joins its service from another one
    Given a pool of 1 executors with 1 cores each
    When a job of a queue whose service has no executors is added
    Then the plan starts 0 tasks
    When the executor joins the service of that queue
    Then the plan starts 1 tasks

  Scenario Outline: a job starts when an executor takes runs again
    Given a pool of 2 executors with 4 cores each
    When both executors are <state> and a job is added
    Then the plan starts 0 tasks
    When both executors are <state> no more
    Then the plan starts 4 tasks

    Examples:
      | state       |
      | unreachable |
      | cordoned    |
      | draining    |
      | paused      |

  Scenario: a restored job continues with the steps and occurrences that have not begun
    Given a pool of 2 executors with 4 cores each
    When a job that repeats 3 times every 1000 ms is added
    Then 0 tasks start before its time, 1 at its time and 2 more later
    When the first running task is done
    And another scheduler takes over
    And the other running tasks are done
    Then the job ends as completed

  Scenario Outline: a gang starts again once its other members have ended
    Given a pool of 3 executors with 2 cores each
    When a gang of 4 tasks of 1 core is added
    Then the plan starts 4 tasks under one run number
    When the run of one member <ends>
    Then the other members are stopped before the gang starts again

    Examples:
      | ends             |
      | is withdrawn     |
      | is marked lapsed |
      | ends broken      |
      | ends alone       |
