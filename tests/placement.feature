Feature: placement of tasks on workers

  Scenario: concurrent placers that pause and lose appends never overallocate a worker
    Then in generated interleavings the free capacity of each worker is never negative
    And in generated interleavings every task that fits is placed in the end

  Scenario: two placers that have read different offsets never allocate the same capacity twice
    Given two placers, one of which has not read the submission of an urgent task
    When both place a task on the same worker
    Then the later placement is refused and its task is placed when the other has ended

  Scenario Outline: a non-urgent task is preempted for an urgent one by <action>
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    And a running task of <cores> cores, <memory> MB and 1 accelerators
    When an urgent task of 4 cores, <memory> MB and <wanted> accelerators is submitted
    Then a <action> of the running task is requested by 2100 ms

    Examples:
      | action     | cores | memory | wanted |
      | throttle   | 8     | 1000   | 0      |
      | checkpoint | 8     | 2000   | 1      |
      | stop       | 8     | 7000   | 1      |

  Scenario: a checkpoint that takes too long is followed by a stop
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    And a running task of 8 cores, 2000 MB and 1 accelerators
    When an urgent task of 4 cores, 2000 MB and 1 accelerators is submitted
    Then a checkpoint of the running task is requested by 2100 ms
    And its stop is requested once when it still runs at 1300 ms
    And the urgent task is placed as soon as the running task has ended

  Scenario: a throttled task is resumed when the urgent task is done
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    And a running task of 8 cores, 1000 MB and 1 accelerators
    When an urgent task of 4 cores, 1000 MB and 0 accelerators is submitted
    And the urgent task runs and is done
    Then the running task is resumed

  Scenario: a task that can never run is refused with the reason
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    When a task of 1 cores, 100 MB and 2 accelerators is submitted
    Then it is refused because no worker has room for 2 accelerators

  Scenario: a task that fails on healthy workers is refused
    Given 10 workers
    When a task fails on every worker on which it is placed
    Then it is refused after it failed on 3 workers and no worker is set aside

  Scenario: workers that fail every task are set aside, a bounded number at once, and tried again
    Given 20 workers of which 4 fail every task
    When 60 valid tasks are submitted and run again when they fail
    Then at most 2 workers are set aside at once
    And no valid task is refused
    And a worker that was set aside is tried again after 60000 ms

  Scenario: a task over its team's quota waits until another task of the team ends
    Given 4 workers and a quota of 4 cores for a team
    When the team submits 3 tasks of 2 cores
    Then 2 are placed and one waits for the quota
    And it is placed when one of them is done

  Scenario: sizes declared ten times too large are corrected by reported usage
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    When 4 tasks that declare 4 cores and use 0.4 have run
    Then 8 more of them run at the same time

  Scenario: tasks of a team are spread over racks and each decision states its reason
    Given 8 workers in 4 racks
    When 4 tasks of one team are submitted
    Then they are placed in 4 racks
    And each placement states its estimate and counts the skipped workers by obstacle

  Scenario: a placement whose append is lost is decided again
    Given 4 workers
    When a task is placed and the append of its record is lost
    Then it is placed again after 5000 ms and not before

  Scenario: cancelled tasks free the capacity of workers exactly once
    Given 4 workers
    When 8 tasks run, are cancelled twice and end twice
    Then every worker has its whole capacity free again
