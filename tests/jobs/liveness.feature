Feature: checks that an executor answers before a run is started on it

  Scenario: executors that were down when a task was ordered there do not count as crashed under it
    Guards against LOST: a rack loses power under a task once, and its job is shown as
    failed, since the task is ordered to one executor after the other that is down.
    Given 1 nodes on an emulated platform with 4 executors
    And each of them has run a task
    When all lose power for 1 s, one of them while it runs a task, and have other ids then
    Then that job is not failed, and 1 executor was lost under its task
    And its tasks are done in the end

  Scenario: a first run is not bound to executors that went down while they were idle
    Guards against tasks that wait for the lease of an executor that was down when they
    were ordered there.
    Given 1 nodes on an emulated platform with 4 executors
    And each of them has run a task
    When 3 of them are idle for 2 s and lose power
    Then a job that comes then is completed within 3 s

  Scenario Outline: the others of its rack are checked once an executor is <what>
    Guards against tasks that go from one executor of a dark rack to the next.
    Given a scheduler and an executor born at 0 that reports run 1 of a task
    And idle executors on its rack and on another one
    When the executor <does> for 1 s
    Then the idle executor on its rack was asked for a report, and the other was not

    Examples:
      | what   | does                              |
      | silent | does not answer                   |
      | over   | is answered for by another id     |

  Scenario Outline: a first run needs a check unless its executor has just been heard of
    Given an agent that was heard of <ago> s ago
    When it is told to start run 1 of a task
    Then the executor was asked <times> times for a report before that

    Examples:
      | ago | times |
      | 1   | 0     |
      | 2   | 1     |

  Scenario: a repeated run is started once its executor has answered
    Given an agent that is told to start run 2 of a task
    Then the executor was not told to start run 2
    When the executor answers the check
    Then the executor was told to start run 2, which counts as begun

  Scenario Outline: a repeated run is not started on an executor that <does> a check
    Given an agent that is told to start run 2 of a task
    When the executor <does> a check
    Then the executor was not told to start run 2
    And <then>

    Examples:
      | does                            | then                                            |
      | does not answer                 | run 2 was withdrawn                             |
      | answers as another incarnation  | the executor is over, and run 2 was never there |

  Scenario: an answer that arrives after the machine was suspended shows nothing
    Given an agent that is told to start run 2 of a task
    When the machine is suspended for 5 s before the answer to the check is read
    Then the executor was not told to start run 2
    When the executor answers the check
    Then the executor was told to start run 2, which counts as begun

  Scenario: a repeated run counts as not begun once a report lacks it
    Given an agent that is told to start run 2 of a task
    When the executor answers the check, but not the order to start run 2
    And the executor reports neither runs nor ends
    Then run 2 counts as begun
    When the executor reports neither runs nor ends
    Then run 2 does not count as begun

  Scenario: repeated runs that are ordered together share a check
    Given an agent that is told to start run 2 of a task
    And it is told to start run 2 of another task
    Then the executor was asked once for a report
    When the executor answers the check
    Then the executor was told to start run 2 of both tasks

  Scenario Outline: a new scheduler counts the crash of an executor only under runs that began
    Guards against LOST, and BUDGET: an earlier scheduler may have ended before it sent
    the order.
    Given a scheduler that inherits run 2 of a task, <begun>
    When the executor registers with born 2000 and port 2
    And born 2000 answers that it has no run
    Then run 2 is over, and <losses> executors were lost under its task

    Examples:
      | begun                       | losses |
      | which is not known to begin | 1      |
      | which has begun             | 2      |
