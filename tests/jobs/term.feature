Feature: one node at a time schedules

  Scenario: a node stands only after silence that it could have heard
    Given a node that follows the term of another
    When the other is silent for 1.0 s
    Then the node does not stand
    When the other is silent for 3.0 s
    Then the node stands

  Scenario: an outage of the store is no silence
    Given a node that follows the term of another
    When the store is unreachable for 10 s
    Then the node does not stand at the first answer

  Scenario: a term that was handed on is taken over at once
    Given a node that follows the term of another
    When the other resigns
    Then the node stands within 0.1 s

  Scenario: a node that comes back takes over from its own last life
    Given a node that reads a term of its own last life
    Then the node stands within 0.1 s

  Scenario Outline: nodes that are small for a scheduler leave the term to others
    Given a node with <cores> cores and a link of <mbps> Mbit/s that follows another
    When the other is silent for <silent> s
    Then the node <stands>

    Examples:
      | cores | mbps | silent | stands         |
      | 1.07  | 1000 | 1.9    | stands         |
      | 2.15  | 200  | 1.9    | stands         |
      | 0.516 | 10   | 1.9    | does not stand |
      | 0.516 | 1000 | 1.9    | does not stand |
      | 2.0   | 5    | 1.9    | does not stand |
      | 0.516 | 10   | 3.0    | stands         |

  Scenario: a node that is small for a scheduler takes over when no other does
    Given a node with 0.5 cores and a link of 10 Mbit/s that follows another
    When the other resigns
    Then the node does not stand
    And the node stands within 0.6 s

  Scenario: a candidate whom another's job outran stands again at its next read
    Given a node that follows the term of another
    When the other is silent for 2.0 s
    Then the node stands
    When it stands and another record than a term comes first
    And the other is silent for 2.1 s
    Then the node stands

  Scenario: a candidate whose store failed waits for silence again
    Given a node that follows the term of another
    When the other is silent for 2.0 s
    And it stands and the store refuses
    And the other is silent for 2.1 s
    Then the node does not stand

  Scenario: every transition of a term is on its chart
    Then the chart "term" refuses "elected" when "follower"
    And the chart "term" refuses "deposed" when "candidate"
