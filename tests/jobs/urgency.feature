Feature: order of jobs, expected run times and the pace of fill tasks

  Scenario Outline: the rank of a job
    Given a job of age <age> ms with <left> ms remaining of an objective of 3000 ms, begun <begun>
    Then its rank is <rank>

    Examples:
      | age  | left | begun | rank     |
      | 0    | 1000 | no    | IN_TIME  |
      | 1900 | 1000 | no    | LATE     |
      | 1900 | 1000 | yes   | BEGUN    |
      | 2500 | 1000 | yes   | LATE     |
      | 8500 | 1000 | no    | HOPELESS |

  Scenario Outline: a rank holds until the age that is told with it
    Given a job of age <age> ms with <left> ms remaining of an objective of 3000 ms, begun <begun>
    Then until it is <end> ms old its rank is <rank>

    Examples:
      | age  | left | begun | rank    | end  |
      | 0    | 1000 | no    | IN_TIME | 1850 |
      | 0    | 1000 | yes   | BEGUN   | 2000 |
      | 2500 | 1000 | yes   | LATE    | 8000 |

  Scenario: the run times seen in a job replace those expected of its queue
    Given a job of 2 steps of 2 tasks, each expected to take 640 ms
    Then its chain takes 1280 ms, of which 1280 ms are left
    When one task of its first step took 1600 ms
    Then its chain takes 2240 ms, of which 2240 ms are left
    When the other task of its first step took 1600 ms
    Then its chain takes 2240 ms, of which 640 ms are left

  Scenario: in an overload of twice the pool for 8 s almost half of the jobs are in time
    Given a pool of 1 executors with 8 cores each
    When a job of 8 tasks that take 1000 ms arrives every 500 ms, 16 in all
    Then at least 7 of them are done within 2500 ms, against 4 in order of arrival

  Scenario: run times are learned where the estimates of callers are far off
    Given a queue whose tasks take 1000 ms and are estimated at 40 to 5000 ms
    Then a task is expected to take 900 to 1100 ms

  Scenario: estimates of callers are used where they are accurate
    Given a queue whose tasks take what is estimated, from 200 to 4000 ms
    Then a task estimated at 3000 ms is expected to take 3000 ms

  Scenario: a fill task halts while a serving task is near its target, then speeds up in steps
    Given a fill task beside a serving task with a target of 100 ms
    When the tail latency is 90 ms
    Then the fill task is paced to 0
    When the tail latency is 50 ms for 1.5 s
    Then the fill task is paced to 25
    When the tail latency is 70 ms for 1.5 s
    Then the pace of the fill task is unchanged

  Scenario: a fill task that an earlier scheduler may have halted does not stay halted
    Given a fill task beside a serving task with a target of 100 ms
    And an earlier scheduler started the fill task
    When the tail latency is 70 ms
    Then the pace of the fill task is unchanged
    When the tail latency is 50 ms
    Then the fill task is paced to 25

  Scenario: a fill task whose pace order got no answer does not stay halted
    Given a fill task beside a serving task with a target of 100 ms
    When the tail latency is 90 ms
    Then the fill task is paced to 0
    When that pace order gets no answer
    And the tail latency is 50 ms for 1.5 s
    Then the fill task is paced to 25
