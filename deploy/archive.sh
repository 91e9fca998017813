#!/bin/sh
# Creates target/brassbank.jsa, the class-data sharing archive that deploy/serve.sh uses: the
# classes loaded by a short run of `serve` on loopback, already parsed and verified. The build runs this
# script; run it again after a change of the Java runtime or the jar. A failure is reported in one
# line, and the exit status is 0 all the same: without an archive the proxy only starts more slowly.
cd "$(dirname "$0")/.." || exit 0
archive=target/brassbank.jsa
jar=target/brassbank.jar
work=target/archive

none() {
  echo "no class-data archive was made, a start takes longer: $1"
  exit 0
}

# Returns whether the Java runtime on the path accepts the archive with the current jar.
fits() {
  java -XX:+UseSerialGC -Xshare:on -XX:SharedArchiveFile="$1" -cp $jar -version >$work/fits.log 2>&1
}

mkdir -p $work || none "$work cannot be made"
if [ -r $archive.sum ] && [ "$(cksum <$archive)" = "$(cat $archive.sum)" ] && fits $archive; then
  exit 0
fi
rm -f $archive $archive.sum $work/*

java -cp $jar brassbank.rehearsal.Rehearsal example/config.json \
  env JAVA_TOOL_OPTIONS="-XX:DumpLoadedClassList=$work/classes" sh deploy/serve.sh \
  >$work/rehearsal.log 2>&1 || none "the rehearsal failed, see $work/rehearsal.log"
java -XX:+UseSerialGC -Xshare:dump -XX:SharedClassListFile=$work/classes \
  -XX:SharedArchiveFile=$work/new.jsa -jar $jar >$work/dump.log 2>&1 ||
  none "the dump failed, see $work/dump.log"
fits $work/new.jsa || none "the runtime does not take it, see $work/fits.log"
# The checksum is moved last, since an archive without a matching checksum must not be used.
mv $work/new.jsa $archive && cksum <$archive >$work/sum && mv $work/sum $archive.sum ||
  none "it cannot be put in place"
