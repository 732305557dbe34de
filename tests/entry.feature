Feature: entry

  Scenario: a request is served under the bundle in force
    Given two entries, 2 endpoints and a bundle
    When a caller sends POST /notices/7 with the body "pay"
    Then the answer is 200 and ends with "pay"
    And it names the request and the endpoint ran it once

  Scenario: nothing runs before a bundle is in force
    Given an entry without a bundle
    When a caller sends POST /notices/7 with the body "pay"
    Then it is not run and the caller is told when to come back

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

  Scenario Outline: any final status passes through whole
    Given two entries, 1 endpoints and a bundle
    When a caller sends <method> /notices with the status <status> wanted
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
    Then every request has one answer and is answered or not-run
    And no endpoint ever ran more than 4 at once
    And what was told not-run did not run and the rest ran once

  Scenario: connections to an endpoint are bounded below its slots
    Given two entries whose pool allows 4 connections and 4 slots
    When 30 requests of 20 ms arrive at once at e1 alone
    Then every request has one answer and is answered or not-run
    And no endpoint ever ran more than 4 at once
    And no entry ever had more than 2 connections to it or ejected it

  Scenario: an entry serves while another seat has never been taken
    Given 2 endpoints, a bundle and only e1 of two seats
    When 30 requests of 20 ms arrive at once at e1 alone
    Then every request has one answer and is answered or not-run
    And some were answered and no endpoint ever ran more than 2 at once

  Scenario: a caller that leaves
    Given two entries, 1 endpoints and a bundle
    When 4 callers send requests of 200 ms and 6 more wait
    And all callers leave
    Then only the 4 running requests ran and the entry holds nothing

  Scenario: pipelined requests are answered in order
    Given two entries, 1 endpoints and a bundle
    When a caller sends 5 pipelined requests
    Then 5 answers come in the order of the requests

  Scenario: a caller that waits for 100-continue
    Given two entries, 1 endpoints and a bundle
    When a caller expects 100-continue for the body "pay"
    Then it is told to continue and its answer ends with "pay"

  Scenario Outline: an answer is passed on whole up to the bound of bodies
    Given two entries, 1 endpoints and a bundle
    When a caller sends a body of <size> bytes that comes back
    Then it gets <given>

    Examples:
      | size    | given             |
      | 1000000 | its body whole    |
      | 1048570 | the word unknown  |
