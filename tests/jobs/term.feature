Feature: election of the node that schedules

  Scenario: a node becomes a candidate only after reading no term record for the timeout
    Given a node that follows another node's term
    When no term record is read for 1.0 s
    Then the node does not become a candidate
    When no term record is read for 3.0 s
    Then the node becomes a candidate

  Scenario: time without access to the store does not count towards the timeout
    Given a node that follows another node's term
    When the store is unreachable for 10 s
    Then the node does not become a candidate at the first answer

  Scenario: after a resignation a node becomes a candidate at once
    Given a node that follows another node's term
    When the scheduler resigns
    Then the node becomes a candidate within 0.1 s

  Scenario: a restarted node takes over at once from its previous incarnation
    Given a node that reads a term of its previous incarnation
    Then the node becomes a candidate within 0.1 s

  Scenario Outline: nodes below the scheduler's minimum size leave the term to others
    Given a node with <cores> cores and a link of <mbps> Mbit/s that follows another
    When no term record is read for <silent> s
    Then the node <result>

    Examples:
      | cores | mbps | silent | result                      |
      | 1.07  | 1000 | 1.9    | becomes a candidate         |
      | 2.15  | 200  | 1.9    | becomes a candidate         |
      | 0.516 | 10   | 1.9    | does not become a candidate |
      | 0.516 | 1000 | 1.9    | does not become a candidate |
      | 2.0   | 5    | 1.9    | does not become a candidate |
      | 0.516 | 10   | 3.0    | becomes a candidate         |

  Scenario: a node below the minimum size takes over when no other node does
    Given a node with 0.5 cores and a link of 10 Mbit/s that follows another
    When the scheduler resigns
    Then the node does not become a candidate
    And the node becomes a candidate within 0.6 s

  Scenario: another scheduler may grant leases for 1.5 s after its newest record
    Given a node that follows another node's term
    When no term record is read for 2.0 s
    Then no other scheduler may grant leases
    When the other node's term record is read 2.0 s after its first
    Then another scheduler may grant leases for 1.5 s
    When the scheduler resigns
    Then no other scheduler may grant leases

  Scenario: a candidate whose append the store rejected waits for the timeout again
    Given a node that follows another node's term
    When no term record is read for 2.0 s
    And the store rejects its candidacy
    And no term record is read for 2.1 s
    Then the node does not become a candidate

  Scenario: the chart of a term refuses every transition that is not on it
    Then the chart "term" refuses "elected" when "follower"
    And the chart "term" refuses "deposed" when "candidate"
