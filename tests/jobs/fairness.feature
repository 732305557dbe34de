Feature: customers get their shares when capacity is short

  Scenario: jobs that a customer's share cannot serve while callers wait are excess
    Given a service that begins 20 jobs a second, with customers a and b of weights 3 and 1
    When both submit 40 jobs a second for 4 s, which callers wait for 5 s at most
    Then the share of a takes 3 s to 4 s for what it has waiting, that of b 4 s to 6 s
    And no job of a is excess, and over half of the last 40 of b are

  Scenario: a customer alone has no excess, however much it submits
    Given a service that begins 20 jobs a second, with customers a and b of weights 3 and 1
    When only b submits 40 jobs a second for 4 s, which callers wait for 5 s at most
    Then none of its jobs is excess

  Scenario: nothing is excess while it is not known how fast jobs are served
    Given a service that begins 0 jobs a second, with customers a and b of weights 3 and 1
    When both submit 40 jobs a second for 4 s, which callers wait for 5 s at most
    Then none of their jobs is excess

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

  Scenario Outline: a job is refused only if its own customer's share takes too long
    Given a queue with a stretch of 1.6 and a target of 600 ms, on a service with a wait of 0 ms
    And customer a waits <wait> ms for its share there, as published <age> ms ago
    When a job of customer <customer> comes
    Then it is <answer>

    Examples:
      | wait | age  | customer | answer   |
      | 6600 | 0    | a        | accepted |
      | 6700 | 0    | a        | refused  |
      | 6700 | 1900 | a        | refused  |
      | 6700 | 2100 | a        | accepted |
      | 6700 | 0    | b        | accepted |

  Scenario: waits for shares are published while customers wait, and once more after it
    Given a publisher of loads
    When it is called 10 times in 2 s while customer a waits 900 ms and b 100 ms for its share
    Then 5 records of waits for shares are stored, with a only
    When it is called 10 times in 2 s while no customer waits for its share
    Then 1 records of waits for shares are stored, with none

  Scenario Outline: a malformed record of waits for shares is ignored
    Given an entry of an overloaded service
    When waits for shares of <value> are read from the store
    Then the entry knows no waits for shares

    Examples:
      | value                    |
      | 7                        |
      | [1, 2]                   |
      | [1, [["s", 3]]]          |
      | [1, [["s", "c", -1]]]    |
      | [1, [["s", "c", NaN]]]   |
      | [1, [["s", "c", 1, 2]]]  |
      | [1, [[]]]                |
