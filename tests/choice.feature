Feature: choice of an endpoint

  Scenario: ejection is limited, and ejected endpoints are never chosen
    Then in generated histories no more than half of the endpoints are ejected
    And in generated choices the endpoint has a free slot, is untried and is not ejected

  Scenario: an endpoint that fails all requests quickly attracts no traffic
    Given 8 endpoints that answer in 20 ms
    When endpoint 3 fails every request in 1 ms
    Then endpoint 3 gets less than 2 percent of 4000 requests

  Scenario: a slow endpoint is ejected and restored by probes
    Given 8 endpoints that answer in 20 ms
    When endpoint 5 answers in 400 ms
    Then endpoint 5 gets less than 4 percent of 4000 requests
    When endpoint 5 answers in 20 ms
    And 8000 requests are sent
    Then endpoint 5 gets more than 8 percent of 4000 requests

  Scenario: requests are still sent when all endpoints fail
    Given 8 endpoints that answer in 20 ms
    When all endpoints fail every request in 1 ms
    Then at least 4 endpoints still get requests

  Scenario: repeatable requests are used as probes first
    Given an ejected endpoint whose probe is due
    Then a repeatable request probes it and a second one does not
    And a request that must run only once probes it only when the probe is overdue

  Scenario: a retry goes to another zone, or else to another rack
    Given candidates in two zones and two racks each
    Then the retry after each candidate is in the other zone
    And without the other zone the retry is in the other rack
