# Draws docs/results/grpc-unary.svg from docs/results/grpc-unary.dat (Debian package gnuplot-nox):
#   gnuplot experiments/grpc-chart.gp
set terminal svg size 720,360 font "sans,11"
set output "docs/results/grpc-unary.svg"
set style data histograms
set style histogram clustered gap 1
set style fill solid 0.8 border -1
set logscale y
set yrange [1000:300000]
set ylabel "calls a second"
set xlabel "in flight x bytes"
set key top left
plot "docs/results/grpc-unary.dat" using 3:xtic(sprintf("%d x %d", $1, $2)) title "direct" lc rgb "#888888", \
     "" using 4 title "through topazweir (one core)" lc rgb "#2266aa"
