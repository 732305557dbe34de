Feature: nodes identify customers by their keys

  Queue q asks for a key and queue open does not. Customer a has key-a1 and key-a2,
  customer b has key-b1.

  Background:
    Given a node on an emulated platform with customers a and b

  Scenario: a caller without a key in force is refused before anything is looked up
    When customer a submits job a1 with key-a1
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | POST   | /q/a2 |        | 401    |
      | POST   | /q/a2 | odd    | 401    |
      | POST   | /q/a1 | odd    | 401    |
      | GET    | /q/a1 | odd    | 401    |
      | GET    | /q/aa | odd    | 401    |
      | GET    | /q/   | odd    | 401    |
      | DELETE | /q/a1 | odd    | 401    |
      | POST   | /x/a1 | key-a1 | 404    |
      | POST   | /x/a1 | odd    | 404    |
      | GET    | /q/aa | key-a1 | 410    |
      | GET    | /q/a1 | key-a2 | 200    |
      | GET    | /q/   | key-b1 | 200    |
    And job a2 is not stored

  Scenario: another customer's job can be neither repeated, seen nor cancelled
    When customer a submits job a1 with key-a1
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | POST   | /q/a1 | key-b1 | 403    |
      | GET    | /q/a1 | key-b1 | 403    |
      | DELETE | /q/a1 | key-b1 | 403    |
    And job a1 belongs to customer a and is completed

  Scenario: a public queue asks for no key, and its jobs belong to no customer
    Then calls with these keys are answered with their status
      | method | path     | key    | status |
      | POST   | /open/a1 |        | 200    |
      | POST   | /open/a2 | odd    | 200    |
      | GET    | /open/a1 |        | 200    |
    And job a1 belongs to no customer and is completed
    And job a2 belongs to no customer and is completed

  Scenario: a key that a new version removes is refused, also for a job that it submitted
    When customer a submits job a1 with key-a1
    And version 10 gives key-a2 to a and key-b1 to b
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | POST   | /q/a1 | key-a1 | 401    |
      | GET    | /q/a1 | key-a1 | 401    |
      | POST   | /q/a1 | key-a2 | 200    |
    And job a1 belongs to customer a and is completed

  Scenario: a key that moves to another customer does not open the jobs of the first
    When customer a submits job a1 with key-a1
    And version 10 gives key-a2 to a and key-a1 to b
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | POST   | /q/a1 | key-a1 | 403    |
      | DELETE | /q/a1 | key-a1 | 403    |
      | GET    | /q/a1 | key-a2 | 200    |
      | POST   | /q/a2 | key-a1 | 200    |
    And job a2 belongs to customer b and is completed

  Scenario: a customer that lost its last key is refused, and its jobs go on
    When customer a submits job a1 with key-a1
    And version 10 gives no key to a and key-b1 to b
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | POST   | /q/a2 | key-a1 | 401    |
      | POST   | /q/a2 | key-a2 | 401    |
      | POST   | /q/a2 |        | 401    |
    And job a1 belongs to customer a and is completed

  Scenario: an older version read later does not bring back a removed key
    When version 10 gives key-a2 to a and key-b1 to b
    And version 9 gives key-a1 to a and key-b1 to b
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | POST   | /q/a1 | key-a1 | 401    |
      | POST   | /q/a1 | key-a2 | 200    |

  Scenario: without tenants in the configuration no key is asked for
    When version 10 has no tenants
    Then calls with these keys are answered with their status
      | method | path  | key | status |
      | POST   | /q/a1 |     | 200    |
      | POST   | /q/a2 | odd | 200    |
    And job a1 belongs to no customer and is completed

  Scenario: a node with an old copy of the configuration refuses no key for good
    When the store is down for 2 s
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | POST   | /q/a1 | key-a1 | 503    |
      | POST   | /q/a1 | odd    | 503    |
      | GET    | /q/a1 | odd    | 503    |
      | POST   | /q/a1 |        | 503    |
      | POST   | /x/a1 | key-a1 | 503    |
    And each of these answers has a Retry-After
    When the store is up again
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | POST   | /q/a1 | key-a1 | 200    |
      | POST   | /q/a2 | odd    | 401    |

  Scenario: a job that can never start under its customer's limit is refused with the reason
    When version 10 limits a to 2000 cores_m
    Then a job of 5 tasks of 2000 cores_m is accepted as a1
    And a job of 1 tasks of 2001 cores_m is refused as too large
    And a gang of 2 tasks of 1000 cores_m is accepted as a2
    And a gang of 2 tasks of 1001 cores_m is refused as too large
    And a job of 1 tasks of 2001 cores_m is accepted in the public queue
    When version 11 limits a to 100 cores_m
    Then a job of 5 tasks of 2000 cores_m is accepted as a1

  Scenario: executors never run more than a limit lets run, also when another node takes over
    Given a second node
    When version 10 limits a to 2000 cores_m
    And a job of 8 tasks of 1000 cores_m runs, and the scheduler is killed after 2 of them
    Then all 8 tasks are done, and never more than 2 ran at once

  Scenario: keys are in no log line, no record and on no metrics page
    Given the node's log is kept
    When customer a submits job a1 with key-a1
    And a malformed version with key-a1 is written
    And version 10 gives key-a2 to a and key-a1 to b
    Then calls with these keys are answered with their status
      | method | path  | key    | status |
      | GET    | /q/a1 | key-a1 | 403    |
      | GET    | /q/a1 | key-zz | 401    |
    And the log, the jobs topic and the metrics page show no key
