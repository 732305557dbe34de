Feature: placement of tasks on workers

  Scenario: racing placers that pause and lose appends never overfill a worker
    Then in generated races each worker's room is never negative
    And in generated races every task that fits is placed in the end

  Scenario: two placers with different views do not fill one worker twice
    Given two placers, of which one has not read of an urgent task
    When both place a task on the same worker
    Then the later placement is void and its task is sent when the other has ended

  Scenario Outline: lesser work gives way to urgent work by <action>
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    And a running task of <cores> cores, <memory> MB and 1 accelerators
    When an urgent task of 4 cores, <memory> MB and <wanted> accelerators comes
    Then the running task is asked to <action> by 2100 ms

    Examples:
      | action     | cores | memory | wanted |
      | throttle   | 8     | 1000   | 0      |
      | checkpoint | 8     | 2000   | 1      |
      | stop       | 8     | 7000   | 1      |

  Scenario: a checkpoint that comes too late is followed by a stop
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    And a running task of 8 cores, 2000 MB and 1 accelerators
    When an urgent task of 4 cores, 2000 MB and 1 accelerators comes
    Then the running task is asked to checkpoint by 2100 ms
    And it is asked to stop once when it still runs at 1300 ms
    And the urgent task is sent as soon as it has ended

  Scenario: a throttled task is resumed
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    And a running task of 8 cores, 1000 MB and 1 accelerators
    When an urgent task of 4 cores, 1000 MB and 0 accelerators comes
    And the urgent task runs and is done
    Then the running task is resumed

  Scenario: a task that can never run is refused with the reason
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    When a task of 1 cores, 100 MB and 2 accelerators is submitted
    Then it is refused since no worker has room for 2 accelerators

  Scenario: a task that fails on sound workers is refused
    Given 10 workers
    When a task fails wherever it is placed
    Then it is refused after 3 workers and no worker is set aside

  Scenario: workers that fail everything are set aside with a bound and tried again
    Given 20 workers of which 4 fail everything
    When 60 good tasks come and are run again where they fail
    Then at most 2 workers are set aside at once
    And no good task is refused
    And a worker that was set aside is tried again after 60000 ms

  Scenario: a quota holds a team back until its own tasks end
    Given 4 workers and a quota of 4 cores for a team
    When the team submits 3 tasks of 2 cores
    Then 2 are sent and one waits for the quota
    And it is sent when one of them is done

  Scenario: sizes declared ten times too large are corrected by usage
    Given a worker of 8 cores, 8000 MB and 1 accelerators
    When 4 tasks that declare 4 cores and use 0.4 have run
    Then 8 more of them are placed at once

  Scenario: tasks of a team are spread over racks and each decision has its reason
    Given 8 workers in 4 racks
    When 4 tasks of one team are submitted
    Then they stand in 4 racks
    And each sent task names the workers passed over by obstacle

  Scenario: a lost append is made up for
    Given 4 workers
    When a task is sent and its append is lost
    Then it is sent again after 5000 ms and not before

  Scenario: cancellations free the room of workers once
    Given 4 workers
    When 8 tasks run, are cancelled twice and end twice
    Then every worker is as free as at the start
