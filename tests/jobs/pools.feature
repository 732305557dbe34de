Feature: moves of VMs between pools, and the demand that sizes pools

  Scenario: a pool short of VMs takes VMs that are off, then idle VMs of other pools
    Given pools "a" that needs 4 of 2 VMs, "b" that needs 1 of 3 VMs and 1 VM that is off
    Then the moves to "a" are the VM that is off and one idle VM of "b"

  Scenario: VMs that are joining a pool are counted
    Given pools "a" that needs 4 of 2 VMs, "b" that needs 1 of 3 VMs and 1 VM that is off
    When the moves are ordered
    Then no more moves are planned

  Scenario: idle VMs are switched off after a timeout, but each pool keeps two
    Given pools "a" that needs 0 of 4 VMs, "b" that needs 2 of 2 VMs and 0 VM that is off
    Then no more moves are planned
    When 4 s have passed
    Then 2 VMs of "a" are switched off

  Scenario: a VM with runs is never moved
    Given pools "a" that needs 9 of 2 VMs, "b" that needs 0 of 3 VMs and 0 VM that is off
    When every VM of "b" has runs
    Then no more moves are planned

  Scenario: a VM due for upkeep is not moved
    Given pools "a" that needs 3 of 2 VMs, "b" that needs 1 of 1 VMs and 1 VM that is off
    When the VM that is off is due for upkeep
    Then no more moves are planned

  Scenario: a refused move is retried only after a delay
    Given pools "a" that needs 3 of 2 VMs, "b" that needs 1 of 1 VMs and 1 VM that is off
    When the moves are refused
    Then no more moves are planned
    When 6 s have passed
    Then 1 moves are planned

  Scenario: a burst raises the demand within a second, and the demand falls soon after it
    Given work of 16 core-seconds arrives in each of 6 steps of 250 ms
    Then the demand is 64 cores at its end
    And the demand is 0 cores 2 s later

  Scenario: the first steps of a burst raise the demand in full
    Given work of 16 core-seconds arrives in each of 2 steps of 250 ms
    Then the demand is 64 cores at its end

  Scenario: pools that need more than the estate together share it
    Then needs of 300, 80 and 20 VMs share 272 VMs as 172, 80 and 20
    And needs of 300, 200 and 20 VMs share 272 VMs as 126, 126 and 20
    And needs of 3, 2 and 1 VMs share 272 VMs as 3, 2 and 1

  Scenario: a pool with more than it needs closes its least busy VMs for a pool that is short
    Given pools "a" that needs 6 of 2 VMs, "b" that needs 3 of 6 VMs and 0 VM that is off
    When every VM of "b" runs tasks that end
    Then no more moves are planned
    And the 3 least busy VMs of "b" are closed
    When the closed VMs are idle
    Then the moves to "a" are the VMs that were closed

  Scenario: of two pools that are short, the one with more than its share closes VMs
    Given pools "a" that needs 40 of 2 VMs, "b" that needs 60 of 18 VMs and 0 VM that is off
    When every VM of "b" runs tasks that end
    Then no more moves are planned
    And the 8 least busy VMs of "b" are closed

  Scenario: late work of one pool gets no VMs that work in time of another needs
    Given pools "a" that needs 14 of 2 VMs, "b" that needs 60 of 18 VMs and 0 VM that is off
    When every VM of "b" runs tasks that end
    And 54 VMs that "b" needs are for late work
    Then no more moves are planned
    And the 12 least busy VMs of "b" are closed

  Scenario: VMs whose runs do not end in time are opened again, and others are closed
    Given pools "a" that needs 6 of 2 VMs, "b" that needs 3 of 6 VMs and 0 VM that is off
    When every VM of "b" runs tasks that end
    Then no more moves are planned
    And the 3 least busy VMs of "b" are closed
    When 4 s have passed
    Then no more moves are planned
    And 3 other VMs of "b" are closed

  Scenario: no more moves are ordered at once than the platform takes
    Given pools "a" that needs 9 of 2 VMs, "b" that needs 1 of 3 VMs and 9 VM that is off
    Then 4 moves are planned if the platform takes 4

  Scenario: the demand of a queue whose rate grows is that of the time when VMs join
    Given work arrives at rates of 10, 20, 40 and 60 cores, each for 375 ms
    Then the demand is between 95 and 101 cores at its end

  Scenario: a demand that fluctuates in few jobs is not extrapolated without limit
    Given work arrives at rates of 1, 1, 60 and 60 cores, each for 375 ms
    Then the demand is between 119 and 121 cores at its end

  Scenario Outline: few large jobs that come by chance in the newer half are no growth
    Given <older> jobs in the older half of the window and <newer> in the newer one
    Then their demand <result> extrapolated

    Examples:
      | older | newer | result |
      | 2     | 6     | is not |
      | 8     | 15    | is not |
      | 30    | 60    | is     |
