Feature: entry

  Scenario: a request is served under the bundle in force
    Given two entries, 2 endpoints and a bundle
    When a caller sends POST /notices/7 with the body "pay"
    Then the answer is 200 and ends with "pay"
    And it has the id of the request and one endpoint ran it once

  Scenario: nothing runs before a bundle is in force
    Given an entry without a bundle
    When a caller sends POST /notices/7 with the body "pay"
    Then the answer is 503 and not-run with a Retry-After of at least 1 s

  Scenario Outline: unacceptable requests are refused
    Given two entries, 1 endpoints and a bundle
    When a caller sends the raw request <request>
    Then the raw answer has the status <status> and the outcome refused
    And no endpoint ran anything

    Examples:
      | request                                                                      | status |
      | GET /else HTTP/1.1\r\nHost: e\r\n\r\n                                        | 404    |
      | GET /noticesx HTTP/1.1\r\nHost: e\r\n\r\n                                    | 404    |
      | GET /notices HTTP/1.1\r\nHost: e\r\nDeadline-Ms: -5\r\n\r\n                  | 400    |
      | GET /notices HTTP/1.1\r\nHost: e\r\nIdempotency-Key: \r\n\r\n                | 400    |
      | GET /notices HTTP/1.1\r\nHost: e\r\nContent-Length: -1\r\n\r\n               | 400    |
      | POST /notices HTTP/1.1\r\nHost: e\r\nContent-Length: 2\r\nContent-Length: 2\r\n\r\nab | 400 |
      | POST /notices HTTP/1.1\r\nHost: e\r\nContent-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\nab | 400 |
      | GET /notices HTTP/1.1\r\nHost: e\r\nA: b\r\n c\r\n\r\n                       | 400    |
      | POST /notices HTTP/1.1\r\nHost: e\r\nContent-Length: 9999999\r\n\r\n         | 413    |

  Scenario Outline: any final status is passed through with its body
    Given two entries, 1 endpoints and a bundle
    When a caller sends <method> /notices that asks for the status <status>
    Then the answer has the status <status> and the endpoint's <body>

    Examples:
      | method | status | body  |
      | POST   | 299    | body  |
      | POST   | 421    | body  |
      | POST   | 425    | body  |
      | POST   | 500    | body  |
      | POST   | 599    | body  |
      | POST   | 204    | empty |
      | GET    | 304    | empty |
      | HEAD   | 200    | empty |

  Scenario: entries together never run more on an endpoint than its slots
    Given two entries, 2 endpoints and a bundle
    When 60 requests of 20 ms arrive at once at each entry
    Then every request has one answer, from an endpoint or not-run
    And no endpoint ever ran more than 4 at once
    And requests with the outcome not-run did not run and the others ran once

  Scenario: connections to an endpoint are bounded below its slots
    Given two entries whose pool allows 4 connections and 4 slots
    When 30 requests of 20 ms arrive at once at e1 alone
    Then every request has one answer, from an endpoint or not-run
    And no endpoint ever ran more than 4 at once
    And no entry ever had more than 2 connections to it or ejected it

  Scenario: an entry serves while another seat has never had a member
    Given 2 endpoints, a bundle and only e1 of two seats
    When 30 requests of 20 ms arrive at once at e1 alone
    Then every request has one answer, from an endpoint or not-run
    And some were answered and no endpoint ever ran more than 2 at once

  Scenario: callers that disconnect
    Given two entries, 1 endpoints and a bundle
    When 4 callers send requests of 200 ms and 6 more wait
    And all callers disconnect
    Then only the 4 running requests ran and no request or slot is left open

  Scenario: pipelined requests are answered in order
    Given two entries, 1 endpoints and a bundle
    When a caller sends 5 pipelined requests
    Then 5 answers come in the order of the requests

  Scenario: a caller that waits for 100-continue
    Given two entries, 1 endpoints and a bundle
    When a caller expects 100-continue for the body "pay"
    Then it has got 100 Continue and its answer ends with "pay"

  Scenario Outline: a response is passed on whole up to the limit of body size
    Given two entries, 1 endpoints and a bundle
    When a caller sends a body of <size> bytes that the endpoint echoes
    Then it gets <given>

    Examples:
      | size    | given               |
      | 1000000 | its whole body      |
      | 1048570 | the outcome unknown |
