Feature: in which order jobs get room, and how fast fills work

  Scenario Outline: the rank of a job
    Given a job of age <age> ms with <left> ms left of an objective of 3000 ms, begun <begun>
    Then its rank is <rank>

    Examples:
      | age  | left | begun | rank     |
      | 0    | 1000 | no    | IN_TIME  |
      | 1900 | 1000 | no    | LATE     |
      | 1900 | 1000 | yes   | BEGUN    |
      | 2500 | 1000 | yes   | LATE     |
      | 8500 | 1000 | no    | HOPELESS |

  Scenario: an overload of twice the pool for 8 s is served as to almost one half in time
    Given a pool of 1 executors with 8 cores each
    When a job of 8 tasks that take 1000 ms arrives every 500 ms, 16 in all
    Then at least 7 of them are done within 2500 ms, where order of arrival does 4

  Scenario: run times are learned where estimates are far off
    Given a queue whose tasks take 1000 ms and are estimated at 40 to 5000 ms
    Then a task is expected to take 900 to 1100 ms

  Scenario: estimates are believed where they are good
    Given a queue whose tasks take what is estimated, from 200 to 4000 ms
    Then a task estimated at 3000 ms is expected to take 3000 ms

  Scenario: fills halt beside a serving task near its target and come back in steps
    Given a fill beside a task with a target of 100 ms
    When the tail is 90 ms
    Then the fill is paced to 0
    When the tail is 50 ms for 1.5 s
    Then the fill is paced to 25
    When the tail is 70 ms for 1.5 s
    Then the pace of the fill stays
