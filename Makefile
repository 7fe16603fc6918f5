# build, test, lint and run; see README.md
.PHONY: build test lint run soak restarts histories sites clean

build:
	mvn -q -B -DskipTests package

test:
	mvn -B -ntp verify

# All of the compiler's warnings are errors here, Javadoc is well-formed, the module and the lines keep their size.
lint:
	mvn -q -B -ntp -Plint -DskipTests verify
	sh .ci/lint

# A toy partner and a relay; ends with Ctrl-C.
run: build
	bash examples/run.sh

# Ten minutes of a relay under a platform that moves and fails; status 0 if every promise was kept.
soak: build
	java -jar target/firstair.jar soak --seconds 600

# Fifty relays, one after another and two at a time, under series of signals, kills and starts; status 0 if every rule was kept.
restarts: build
	java -jar target/firstair.jar restarts --seeds 50

# A thousand histories of fleets under faults, in memory; status 0 if every invariant held after every event.
histories: build
	java -jar target/firstair.jar fleet --seeds 1000

# Lays beside deploy/sites/*.toml what the bench wants next to a site; copies of ../given, which git ignores.
KIT = ../given/kit/more/mass
sites:
	for f in real.json wire.json unlock.txt; do cp -f $(KIT)/other/$$f deploy/sites/$$f && chmod u+w deploy/sites/$$f || exit 1; done

clean:
	mvn -q -B clean
