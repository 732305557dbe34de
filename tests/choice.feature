Feature: choice of an endpoint

  Scenario: ejection is bounded and respected
    Then in generated histories no more than half of the endpoints are ejected
    And in generated choices the endpoint is free, untried and not ejected

  Scenario: an endpoint that fails everything fast draws no traffic
    Given 8 endpoints that answer in 20 ms
    When endpoint 3 fails everything in 1 ms
    Then endpoint 3 is given less than 2 percent of 4000 requests

  Scenario: a slow endpoint is ejected and probed back
    Given 8 endpoints that answer in 20 ms
    When endpoint 5 answers in 400 ms
    Then endpoint 5 is given less than 4 percent of 4000 requests
    When endpoint 5 answers in 20 ms
    And 8000 requests pass
    Then endpoint 5 is given more than 8 percent of 4000 requests

  Scenario: all endpoints fail
    Given 8 endpoints that answer in 20 ms
    When all endpoints fail everything in 1 ms
    Then at least 4 endpoints are still given requests

  Scenario: a probe goes to repeatable requests first
    Given an ejected endpoint whose probe is due
    Then a repeatable request probes it and a second one does not
    And a request that must run once probes it only when it is overdue

  Scenario: another try goes to another zone, else another rack
    Given candidates in two zones and two racks each
    Then the next try after each candidate is in the other zone
    And without the other zone it is in the other rack
