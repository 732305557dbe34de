Feature: ops

  Scenario: only the holder of the key passes, and once a nonce
    Then generated credentials pass only for their own key, request and nonce

  Scenario: a nonce does not outlive its time or its place among the newest
    Then old and displaced nonces are refused

  Scenario: metrics tell counts and percentiles
    Then generated timings lie within the bounds that the metrics view tells

  Scenario Outline: an operators' page is shown for the shared key
    Given an operators' server
    When a client with the key "<key>" asks for "<target>"
    Then the operators' answer is <status> with "<text>"

    Examples:
      | key                     | target           | status | text            |
      | operators-key-1234      | /health          | 200    | "ok"            |
      | operators-key-1234      | /echo?id=a%20b   | 200    | "a b"           |
      | operators-key-1234      | /nothing         | 404    | no such page    |
      | operators-key-1234      | /ready           | 503    | not yet         |
      | another-key-of-16-chars | /health          | 401    | key is needed   |
