Feature: ops

  Scenario: credentials need the right key and a nonce that is valid once
    Then generated credentials are accepted only for their own key, request and nonce

  Scenario: a nonce expires after its lifetime, or when newer ones exceed the limit
    Then expired and discarded nonces are refused

  Scenario: metrics report counts and percentiles
    Then generated timings lie within the bounds that the metrics view reports

  Scenario Outline: a request to the operators' address gets the status of its key and path
    Given an operators' server
    When a client with the key "<key>" requests "<target>"
    Then the operators' server responds with <status> and "<text>"

    Examples:
      | key                     | target           | status | text            |
      | operators-key-1234      | /health          | 200    | "ok"            |
      | operators-key-1234      | /echo?id=a%20b   | 200    | "a b"           |
      | operators-key-1234      | /nothing         | 404    | no such page    |
      | operators-key-1234      | /ready           | 503    | not yet         |
      | another-key-of-16-chars | /health          | 401    | key is needed   |
