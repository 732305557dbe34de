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

  Scenario: every transition of a term is on its chart
    Then the chart "term" refuses "elected" when "follower"
    And the chart "term" refuses "deposed" when "candidate"
