Feature: requests to one server over one connection

  Scenario Outline: a late answer to an earlier request does not complete the next one
    Given a server that answers when the test says so
    When a request for /a is sent and then <ended>
    And a request for /b is sent
    And the server answers /a
    Then no answer arrives
    When the server answers /b
    Then the request for /b gets its own answer

    Examples:
      | ended     |
      | cancelled |
      | timed out |

  Scenario: a request whose connection opens only after the client was closed is not sent
    Given a server that answers when the test says so
    When a request for /a is made and the client is closed while it connects
    Then the server receives no request and has no open connection
    And no answer arrives

  Scenario: a closed client reports no results
    Given a server that answers when the test says so
    When a request for /a is sent and a request for /b waits
    And the client is closed
    Then the server receives only /a
    And no answer arrives

  Scenario: a request that is cancelled while it connects leaves no connection open beside the next
    Given a server that answers when the test says so
    When a request for /a is cancelled while it connects
    And a request for /b is sent
    And the server answers /b
    Then the request for /b gets its own answer
    And the server has 1 open connections

  Scenario: an answer that arrives slowly is not given up and asked for again for ever
    Given a server that sends an answer in 5 pieces, 0.2 s apart
    When a request with a timeout of 0.3 s and a limit of 5 s is sent
    Then its answer has 5 pieces

  Scenario Outline: a request is given up <when>
    Given a server that sends an answer in <pieces> pieces, 0.2 s apart
    When a request with a timeout of 0.3 s and a limit of <limit> s is sent
    Then it is given up after <after> s

    Examples:
      | when                              | pieces | limit | after |
      | when its answer does not begin    | 0      | 5     | 0.3   |
      | at its limit                      | 50     | 0.8   | 0.8   |
      | at its timeout if it has no limit | 50     | 0     | 0.3   |

  Scenario: an answer that arrived while the process was delayed is not taken for none
    Given a server that answers when the test says so
    When a request with a timeout of 0.3 s is sent for /a
    And the process is delayed for 0.5 s after the server answered /a
    Then the request for /a gets its own answer

  Scenario: over a pool of connections a request without an answer holds up no other
    Given a server that answers when the test says so
    And a pool of 4 connections to it
    When a request for /a is sent
    And a request for /b is sent
    And the server answers /b
    Then the request for /b gets its own answer
    And the server has 2 open connections
    When a request for /c is sent
    Then the server has 2 open connections

  Scenario: a request that fails says when it was sent, and over which connection
    Given a server that answers when the test says so
    When a request for /a is sent
    And the server answers /a
    And a request for /b times out after 0.2 s, and one for /c that waits for it after 0.4 s
    Then the request for /b was sent over an answered connection
    And the request for /c was sent 0.2 s later or more over a new connection
