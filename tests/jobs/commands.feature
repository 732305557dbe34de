Feature: operators' commands on jobs, with all programs as processes

  Scenario: commands submit, show, list and cancel jobs
    Given an emulated platform and 2 nodes as processes
    Then "queues" exits 0 printing "queue: notices"
    And "list" exits 0 printing nothing
    When an operator submits a job with 2 steps of 3 tasks
    Then "show ID" eventually prints "state: completed"
    And "show ID" exits 0 printing "phase: done"
    And "list --state completed --json" exits 0 printing "ID"
    And "list --state pending" exits 0 printing nothing
    And "cancel ID" exits 1 printing "completed already"
    And submitting it again under its id stores nothing new
    When an operator submits a long-running job
    Then "show ID" eventually prints "state: running"
    And "cancel ID" exits 0 printing "cancellation"
    And "show ID" eventually prints "state: cancelled"

  Scenario: jobs of customers are submitted by name and listed with their customer
    Given an emulated platform with 2 customers and 1 nodes as processes
    Then "submit notices JOB" exits 2 printing "name one with --customer"
    And "submit notices JOB --customer nobody" exits 1 printing "no such customer"
    When an operator submits a job of customer-2
    Then "show ID" eventually prints "state: completed"
    And "show ID" exits 0 printing "customer: customer-2"
    And "list --customer customer-2 --json" exits 0 printing "ID"
    And "list --customer customer-1" exits 0 printing nothing
    And "submit notices JOB --id ID --customer customer-1" exits 1 printing "another customer's"
    And the command "customer list" exits 0 printing "jobs_done: 1"
    And the command "customer list --json" exits 0 printing "customer-1"
    And the command "config check CONFIG --in-force" exits 2 printing "tenants[0].apiKeys"
    And only the owner can read the file of keys
    And no command or log has printed a key
    And a caller gets 401 with another key and 200 with a key of the file

  Scenario: commands on customers in a deployment without them
    Given an emulated platform and 0 nodes as processes
    Then the command "customer list" exits 0 printing "has no customers"
    And the command "config check SAME --in-force" exits 2 printing "version 1 is in force"
    And "submit notices JOB --customer one" exits 1 printing "leave out --customer"

  Scenario Outline: errors name the wrong argument or field
    Given an emulated platform and 0 nodes as processes
    Then "<command>" exits <code> printing "<text>"

    Examples:
      | command                | code | text                          |
      | show 00ff              | 1    | no such job                   |
      | cancel 00ff            | 1    | no such job                   |
      | submit bills JOB       | 1    | no such queue                 |
      | submit notices /none   | 2    | /none                         |
      | submit notices EMPTY   | 2    | steps = None; allowed         |
      | submit notices STRANGE | 2    | steps[0].cores = 3; allowed   |
      | submit notices LOOP    | 2    | steps[0].after = [0]; allowed |

  Scenario: an unreachable store has an exit code of its own
    Given an emulated platform and 0 nodes as processes
    When the emulated platform is terminated
    Then "list" exits 3 printing "does not answer"

  Scenario: settings that cannot be used are named
    Then the jobs commands exit 2 naming the missing settings file
