Feature: decisions of a server at its limits

  Scenario: connections give way in order of their use
    Given connections "a b c d e f" that were opened in this order
    When "a c e" have each had a request answered, a after c
    And "d" has a request in progress
    And "f" is closing
    Then the connections give way in the order "f b c e a"

  Scenario: a connection with a request in progress never gives way
    Then in generated histories only connections without a request in progress give way
