Feature: decisions of a server at its limits

  Scenario: connections give way in order of their use
    Given connections "a b c d e f" that were opened in this order
    When "a c e" have each had a request answered, a after c
    And "d" has a request in progress
    And "f" is closing
    Then the connections give way in the order "f b c e a"

  Scenario: a connection with a request in progress never gives way
    Then in generated histories only connections without a request in progress give way

  Scenario: the largest incomplete requests give way first
    Given a memory budget of 1000000 bytes
    When "a b c d" hold 300000 100000 500000 200 bytes and 200000 are kept
    Then the sum is too large and "c" must give up what it holds

  Scenario: large requests leave room for small ones
    Given a memory budget of 1000000 bytes
    Then a request of 2000000 bytes is kept while there is no other
    And of requests of 100000 bytes 5 are kept
    And of requests of 50000 bytes 20 are kept

  Scenario: the sums of a memory budget agree with its connections
    Then in generated histories the sums agree and giving up is enough
