Feature: customers get their shares when capacity is short

  Scenario Outline: jobs beyond a customer's weight are excess
    Given customers with weights <weights>
    When <jobs> jobs of a arrive within <seconds> s
    Then <excess> of them are excess

    Examples:
      | weights  | jobs | seconds | excess |
      | a=10     | 10   | 0.1     | 0      |
      | a=10     | 30   | 0.001   | 20     |
      | a=10     | 40   | 2       | 11     |
      | a=0      | 2    | 0.1     | 1      |
      | b=10     | 50   | 0.1     | 0      |

  Scenario: a customer whose jobs are excess is told when it has a share again
    Given customers with weights a=4
    When 6 jobs of a arrive within 0.001 s
    Then a job of a is entitled again after 250 ms
    And a job of a customer that is not configured is entitled at once

  Scenario: clocks of entries that differ give no customer more than its share
    Given customers with weights a=10
    When 100 jobs of a arrive at once by entries whose clocks differ by 400 ms
    Then at most 14 of them are entitled

  Scenario: a customer with much work comes after those with little, and none is starved
    Given a fair queue
    When customer a with weight 1 submits 5 jobs of 100 core-ms
    And customer b with weight 1 submits 1 jobs of 100 core-ms
    And customer c with weight 4 submits 5 jobs of 100 core-ms
    Then the jobs are served in the order a b c c c c a c a a a

  Scenario: a customer that was idle saves up no claim, and waits for no old backlog
    Given a fair queue
    When customer a with weight 1 submits 5 jobs of 100 core-ms
    And 4 jobs are served
    And customer b with weight 1 submits 3 jobs of 100 core-ms
    Then the jobs are served in the order b a b b

  Scenario Outline: jobs of all kinds keep their rank where no customers are configured
    Given a job of age <age> ms with 1000 ms remaining of an objective of 3000 ms, begun no
    Then its rank is <rank>
    And where customers have shares its rank is <shared>
    And beyond its customer's share its rank is <excess>

    Examples:
      | age  | rank     | shared   | excess   |
      | 0    | IN_TIME  | IN_TIME  | EXCESS   |
      | 1100 | IN_TIME  | AT_RISK  | EXCESS   |
      | 1900 | LATE     | LATE     | EXCESS   |
      | 6500 | LATE     | LATE     | EXCESS   |
      | 6600 | LATE     | LAST_CHANCE | EXCESS |
      | 8500 | HOPELESS | HOPELESS | HOPELESS |

  Scenario: one customer at ten times its usual does not make the jobs of others late
    Given a fixed pool of 60 VMs whose queue a has 20 customers with a weight of 8 each
    And one of them submits 300 jobs a second from second 4 to 8, the others 45 together
    When 30 s have been simulated with shares
    Then at least 90% of the jobs of the others in the seconds 4 to 8 are in time
    And at most 60% of them are in time without shares
    And the excess jobs that capacity is left for are done

  Scenario: customers that submit more than there is room for all have jobs in time
    Given a fixed pool of 40 VMs whose queue a has 20 customers with a weight of 8 each
    And one of them submits 8 jobs a second from second 4 to 10, the others 120 together
    When 20 s have been simulated with shares
    Then the worst two customers have at least half of the mean of all in time

  Scenario: in an overload, late jobs are done before their callers stop waiting
    Given a fixed pool of 40 VMs whose queue a has 20 customers with a weight of 8 each
    And one of them submits 8 jobs a second from second 4 to 10, the others 75 together
    When 24 s have been simulated with shares
    Then of the jobs of the seconds 4 to 10 less than half as many take over 3 times their objective as if late jobs got only what is left

  Scenario: a new scheduler orders the jobs as the one before it
    Given customers with weights a=2
    When 6 jobs of a arrive within 0.001 s
    And another scheduler reads them in the order of the log
    Then it takes the same jobs as excess

  Scenario Outline: an excess job is refused only while others wait
    Given a queue with a stretch of 1.6 and a target of 600 ms, on a service with a wait of 0 ms
    And the wait for all work of <wait> ms
    When a job comes whose customer has a share again in <share> ms
    Then it is <answer>

    Examples:
      | wait | share | answer   |
      | 0    | 1000  | accepted |
      | 1000 | 1000  | accepted |
      | 1500 | 1000  | refused  |
      | 6000 | 0     | accepted |

  Scenario: a refused excess job is told to return when its customer has a share
    Given a queue with a stretch of 1.6 and a target of 600 ms, on a service with a wait of 0 ms
    And the wait for all work of 2000 ms
    When a job comes whose customer has a share again in 4000 ms
    Then it is told to return after 4 s to 6 s
